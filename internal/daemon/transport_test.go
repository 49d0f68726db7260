package daemon

import (
	"net"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A table that is sent to several daemons is packed once, and the cache of packed tables is bounded.
func TestTableIsPackedOnce(t *testing.T) {
	var p packedTables
	first := &wire.Table{StateIndex: 1}
	a := p.pack(first)
	if a == nil || p.pack(first) != a {
		t.Error("the same table was packed twice")
	}
	for i := range tuning.PackedTables {
		p.pack(&wire.Table{StateIndex: uint64(i)})
	}
	if p.pack(first) == a {
		t.Error("the oldest table was not evicted from the cache")
	}
	if p.pack(nil) != nil {
		t.Error("packing a nil table returned a table")
	}
}

// A lack of file descriptors and aborted connections are transient errors of accept; a closed listener is not.
func TestTransientAcceptErrors(t *testing.T) {
	failure := func(cause error) error {
		return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", cause)}
	}
	for _, c := range []struct {
		err  error
		want bool
	}{
		{failure(syscall.EMFILE), true},
		{failure(syscall.ENFILE), true},
		{failure(syscall.ECONNABORTED), true},
		{failure(syscall.EINVAL), false},
		{net.ErrClosed, false},
		{nil, false},
	} {
		if isTransient(c.err) != c.want {
			t.Errorf("isTransient(%v) is %v, want %v", c.err, !c.want, c.want)
		}
	}
}

// Listeners and dialers set the socket options that detect dead peers: a TCP user timeout for unacknowledged data, and
// keep-alive.
func TestSocketOptions(t *testing.T) {
	ln, err := reverseproxy.Listen("127.0.0.1:0", tuning.CallerAckTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	out, err := reverseproxy.NewDialer(nil, time.Second).Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	in, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	for c, want := range map[net.Conn]time.Duration{out: tuning.AckTimeout, in: tuning.CallerAckTimeout} {
		raw, _ := c.(*net.TCPConn).SyscallConn()
		for _, o := range []struct{ level, name, want int }{
			{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(want.Milliseconds())},
			{unix.IPPROTO_TCP, unix.TCP_NODELAY, 1},
			{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(tuning.KeepAliveIdle / time.Second)},
			{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(tuning.KeepAliveInterval / time.Second)},
			{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, tuning.KeepAliveCount},
		} {
			raw.Control(func(fd uintptr) {
				if got, err := unix.GetsockoptInt(int(fd), o.level, o.name); err != nil || got != o.want {
					t.Errorf("socket option %d is %d, want %d, error %v", o.name, got, o.want, err)
				}
			})
		}
	}
	runtime.KeepAlive(out)
}

// This file is the connections to targets: one TCP connection each, HTTP/1.1, one request
// at a time, written and read by the goroutine that carries the request. So it is
// known of every byte whether it went out, an idle connection costs no goroutine, and what
// comes without being asked for is seen before the connection is used again. Idle connections
// stand in a shelf per target, whose places are taken and filled by single atomic
// steps. The sockets' own options are here too.

package reverseproxy

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

var (
	errNoAnswer = errors.New("what came is no HTTP answer")
	errForeign  = errors.New("another identity answers at the target's address")
)

// born is what connections count their age from.
var born = time.Now()

// past is a deadline that ends what waits.
func past() time.Time { return time.Now().Add(-time.Second) }

func unacked(d time.Duration) func(_, _ string, rc syscall.RawConn) error {
	return func(_, _ string, rc syscall.RawConn) error {
		var err error
		if cerr := rc.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		}); cerr != nil {
			return cerr
		}
		return err
	}
}

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: tuning.KeepAliveIdle, Interval: tuning.KeepAliveInterval, Count: tuning.KeepAliveCount}

// NewDialer opens connections whose other side is gone when it acknowledges nothing for
// tuning.Unacked; from is where they leave from, nil for the system's choice.
func NewDialer(from net.Addr, timeout time.Duration) *net.Dialer {
	return &net.Dialer{LocalAddr: from, Timeout: timeout, Control: unacked(tuning.AckTimeout), KeepAliveConfig: keepAlive}
}

// Listen listens; who connects is gone when it acknowledges nothing for unack.
func Listen(addr string, unack time.Duration) (net.Listener, error) {
	lc := net.ListenConfig{Control: unacked(unack), KeepAliveConfig: keepAlive}
	return lc.Listen(context.Background(), "tcp", addr)
}

// Conn is a connection to a target.
type Conn struct {
	c       net.Conn
	raw     syscall.RawConn
	r       *bufio.Reader
	out     []byte
	room    int64        // bytes that may still come
	fresh   bool         // nothing has been written to it
	partial bool         // a request went out in part: what is written next would be its rest
	till    time.Time    // not to be used after this
	used    atomic.Int64 // when it was last put back; read by those who look for one
}

// Dial opens a connection by ctx's end.
func Dial(ctx context.Context, addr string, from net.Addr) (*Conn, error) {
	c, err := NewDialer(from, tuning.DialTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &Conn{c: c, fresh: true}
	if p.raw, err = c.(syscall.Conn).SyscallConn(); err != nil {
		c.Close()
		return nil, err
	}
	p.r = bufio.NewReader(p)
	return p, nil
}

func (p *Conn) Read(b []byte) (int, error) {
	if p.room <= 0 {
		return 0, errNoAnswer
	}
	if int64(len(b)) > p.room {
		b = b[:p.room]
	}
	n, err := p.c.Read(b)
	p.room -= int64(n)
	return n, err
}

// Addr is where the connection leads.
func (p *Conn) Addr() string { return p.c.RemoteAddr().String() }

// Close closes the connection.
func (p *Conn) Close() { p.c.Close() }

// quiet says whether the connection is open and nothing has come on it since the last
// answer. Its deadline must lie ahead.
func (p *Conn) quiet() bool {
	if p.r.Buffered() > 0 {
		return false
	}
	quiet := false
	var b [1]byte
	err := p.raw.Read(func(fd uintptr) bool {
		for {
			_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			if err == unix.EINTR {
				continue
			}
			quiet = err == unix.EAGAIN
			return true
		}
	})
	return err == nil && quiet
}

// await waits until something comes, until the deadline or as long as the target is
// not given up; it returns false in that last case.
func (p *Conn) await(ctx context.Context, till time.Time, dark func() bool) bool {
	p.room = 4 * tuning.HeaderMax
	for wait := tuning.UnreachableCheckAfter; ; wait = tuning.UnreachableCheckEvery {
		at := time.Now().Add(wait)
		if !at.Before(till) {
			break
		}
		p.c.SetReadDeadline(at)
		_, err := p.r.Peek(1)
		var ne net.Error
		if err == nil || !errors.As(err, &ne) || !ne.Timeout() || ctx.Err() != nil {
			break
		}
		if dark() && p.silent(till) {
			return false
		}
	}
	p.c.SetReadDeadline(till)
	if ctx.Err() != nil {
		p.c.SetDeadline(past())
	}
	return true
}

// silent says whether nothing has come. A read whose time is over does not look: an answer may have come
// meanwhile, and a process that is held up looks late.
func (p *Conn) silent(till time.Time) bool {
	p.c.SetReadDeadline(till)
	return p.quiet()
}

// head reads an answer's status and header.
func (p *Conn) head(method string) (*http.Response, error) {
	req := &http.Request{Method: method}
	for range tuning.InterimMax {
		p.room = 4 * tuning.HeaderMax
		resp, err := http.ReadResponse(p.r, req)
		if err != nil {
			return nil, err
		}
		if resp.ProtoMajor != 1 || resp.StatusCode < 100 || resp.StatusCode > 999 || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errNoAnswer
		}
		if resp.StatusCode >= 200 {
			p.room = 1 << 62
			p.keep(resp)
			return resp, nil
		}
	}
	return nil, errNoAnswer
}

// keep notes how long the target says that it keeps the connection.
func (p *Conn) keep(resp *http.Response) {
	p.till = time.Time{}
	for f := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(f), "=")
		if n, err := strconv.Atoi(v); err == nil && strings.EqualFold(k, "timeout") {
			p.till = time.Now().Add(time.Duration(n)*time.Second - tuning.IdleTimeoutMargin)
		}
	}
}

// upTo reads up to max bytes; done is false if there is more.
func upTo(r io.Reader, max int) (b []byte, done bool, err error) {
	b = make([]byte, 0, min(max, 4<<10))
	for {
		if len(b) == cap(b) {
			if len(b) >= max {
				return b, false, nil
			}
			b = append(make([]byte, 0, min(max, 4*cap(b))), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, true, nil
		}
		if err != nil {
			return b, false, err
		}
	}
}

// whole reads an answer's body up to max bytes; done is false if there is more of it.
func whole(resp *http.Response, max int) (b []byte, done bool, err error) {
	n := resp.ContentLength
	switch {
	case resp.Body == http.NoBody || n == 0:
		return nil, true, nil
	case n > int64(max):
		return nil, false, nil
	case n < 0:
		return upTo(resp.Body, max)
	}
	b = make([]byte, n)
	_, err = io.ReadFull(resp.Body, b)
	return b, err == nil, err
}

// Get asks for a path and reads a small answer whole. again says whether the connection
// can be used once more.
func (p *Conn) Get(till time.Time, host, path string, extra ...string) (resp *http.Response, body []byte, again bool, err error) {
	p.c.SetDeadline(till)
	if !p.fresh && !p.quiet() {
		return nil, nil, false, net.ErrClosed
	}
	p.fresh = false
	b := append(p.out[:0], "GET "...)
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	for i := 0; i+1 < len(extra); i += 2 {
		b = append(b, "\r\n"...)
		b = append(b, extra[i]...)
		b = append(b, ": "...)
		b = append(b, extra[i+1]...)
	}
	p.out = append(b, "\r\n\r\n"...)
	if _, err = p.c.Write(p.out); err != nil {
		return nil, nil, false, err
	}
	if resp, err = p.head("GET"); err != nil {
		return nil, nil, false, err
	}
	var done bool
	body, done, err = whole(resp, tuning.ProbeBody)
	return resp, body, done && !resp.Close && p.r.Buffered() == 0, err
}

// Identify asks a target that says so itself who it is. again says whether the connection
// can be used once more.
func (p *Conn) Identify(till time.Time, addr string) (beat *config.TargetReport, again bool, err error) {
	resp, b, again, err := p.Get(till, addr, config.IdentityPath)
	if err != nil {
		return nil, false, err
	}
	if resp.StatusCode != 200 {
		return nil, false, errors.Newf("identity answered %d", resp.StatusCode)
	}
	beat = &config.TargetReport{}
	return beat, again, errors.Wrap(json.Unmarshal(b, beat), "identity")
}

// shelf holds a target's idle connections.
type shelf struct {
	slots [tuning.IdleConnsMax]atomic.Pointer[Conn]
	gone  atomic.Bool
	dark  atomic.Bool // nothing reaches the target
}

// put keeps a connection, and closes the longest unused ones so that n are left: one that was used
// just now serves every request, an old one only those that may be repeated.
func (s *shelf) put(p *Conn, n int) {
	p.used.Store(int64(time.Since(born)))
	if n <= 0 {
		p.Close()
		return
	}
	kept := 0
	for i := range s.slots {
		if s.slots[i].Load() != nil {
			kept++
		}
	}
	for ; kept >= n; kept-- {
		s.dropOldest()
	}
	for i := range s.slots {
		if s.slots[i].CompareAndSwap(nil, p) {
			if s.gone.Load() {
				s.close()
			}
			return
		}
	}
	p.Close()
}

// dropOldest closes the connection that has been unused for longest, if there is one.
func (s *shelf) dropOldest() {
	var oldest *Conn
	at := 0
	for i := range s.slots {
		if p := s.slots[i].Load(); p != nil && (oldest == nil || p.used.Load() < oldest.used.Load()) {
			oldest, at = p, i
		}
	}
	if oldest != nil && s.slots[at].CompareAndSwap(oldest, nil) {
		oldest.Close()
	}
}

// take takes the connection that was used last, if that was less than idle ago. Its deadline is set.
func (s *shelf) take(idle time.Duration, till time.Time) *Conn {
	for {
		var best *Conn
		at := 0
		for i := range s.slots {
			if p := s.slots[i].Load(); p != nil && (best == nil || p.used.Load() > best.used.Load()) {
				best, at = p, i
			}
		}
		if best == nil {
			return nil
		}
		now := time.Now()
		if best.idle(now) >= idle {
			return nil
		}
		if !s.slots[at].CompareAndSwap(best, nil) {
			continue
		}
		best.c.SetDeadline(till)
		if best.stale(now) || !best.quiet() {
			best.Close()
			continue
		}
		return best
	}
}

func (p *Conn) idle(now time.Time) time.Duration {
	return now.Sub(born) - time.Duration(p.used.Load())
}

// stale says whether a connection that is the asker's own is too old to be used.
func (p *Conn) stale(now time.Time) bool {
	return p.idle(now) >= tuning.ConnIdle || !p.till.IsZero() && now.After(p.till)
}

func (s *shelf) close() {
	for i := range s.slots {
		if p := s.slots[i].Swap(nil); p != nil {
			p.Close()
		}
	}
}

func (s *shelf) sweep(now time.Time) {
	for i := range s.slots {
		p := s.slots[i].Swap(nil)
		if p != nil && (p.stale(now) || !s.slots[i].CompareAndSwap(nil, p)) {
			p.Close()
		}
	}
	if s.gone.Load() {
		s.close()
	}
}

// Pool is the shelves of the table's targets.
type Pool struct {
	shelves atomic.Pointer[map[wire.TargetID]*shelf]
	stop    chan struct{}
}

func NewPool() *Pool {
	p := &Pool{stop: make(chan struct{})}
	p.shelves.Store(&map[wire.TargetID]*shelf{})
	go func() {
		sweep := time.NewTicker(tuning.ConnIdle / 4)
		defer sweep.Stop()
		for {
			select {
			case now := <-sweep.C:
				for _, s := range *p.shelves.Load() {
					s.sweep(now)
				}
			case <-p.stop:
				return
			}
		}
	}()
	return p
}

// SetTargets tells the pool which targets the table holds; one goroutine calls it.
func (p *Pool) SetTargets(m map[wire.TargetID]string) {
	old := *p.shelves.Load()
	next := make(map[wire.TargetID]*shelf, len(m))
	for id := range m {
		if next[id] = old[id]; next[id] == nil {
			next[id] = &shelf{}
		}
	}
	p.shelves.Store(&next)
	for id, s := range old {
		if next[id] == nil {
			s.gone.Store(true)
			s.close()
		}
	}
}

// SetUnreachable tells the pool which targets nothing reaches.
func (p *Pool) SetUnreachable(ids map[wire.TargetID]bool) {
	for id, s := range *p.shelves.Load() {
		s.dark.Store(ids[id])
	}
}

func (p *Pool) dark(id wire.TargetID) bool {
	s := (*p.shelves.Load())[id]
	return s != nil && s.dark.Load()
}

// Close closes all idle connections, and those that come back later.
func (p *Pool) Close() {
	close(p.stop)
	p.SetTargets(nil)
}

func (p *Pool) take(id wire.TargetID, idle time.Duration, till time.Time) *Conn {
	if s := (*p.shelves.Load())[id]; s != nil {
		return s.take(idle, till)
	}
	return nil
}

func (p *Pool) give(id wire.TargetID, x *Conn, n int) {
	if s := (*p.shelves.Load())[id]; s != nil {
		s.put(x, n)
	} else {
		x.Close()
	}
}

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
	errInvalidResponse = errors.New("what came is no HTTP answer")
	errWrongIdentity   = errors.New("another identity answers at the target's address")
)

// processStart is what connections count their age from.
var processStart = time.Now()

// expiredDeadline is a deadline that ends what waits.
func expiredDeadline() time.Time { return time.Now().Add(-time.Second) }

func userTimeout(d time.Duration) func(_, _ string, rc syscall.RawConn) error {
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
	return &net.Dialer{LocalAddr: from, Timeout: timeout, Control: userTimeout(tuning.AckTimeout), KeepAliveConfig: keepAlive}
}

// Listen listens; who connects is gone when it acknowledges nothing for unack.
func Listen(addr string, unack time.Duration) (net.Listener, error) {
	lc := net.ListenConfig{Control: userTimeout(unack), KeepAliveConfig: keepAlive}
	return lc.Listen(context.Background(), "tcp", addr)
}

// Conn is a connection to a target.
type Conn struct {
	netConn       net.Conn
	rawConn       syscall.RawConn
	reader        *bufio.Reader
	writeBuffer   []byte
	readLimit     int64        // bytes that may still come
	fresh         bool         // nothing has been written to it
	partlyWritten bool         // a request went out in part: what is written next would be its rest
	reuseUntil    time.Time    // not to be used after this
	lastUsed      atomic.Int64 // when it was last put back; read by those who look for one
}

// Dial opens a connection by ctx's end.
func Dial(ctx context.Context, addr string, from net.Addr) (*Conn, error) {
	c, err := NewDialer(from, tuning.DialTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &Conn{netConn: c, fresh: true}
	if p.rawConn, err = c.(syscall.Conn).SyscallConn(); err != nil {
		c.Close()
		return nil, err
	}
	p.reader = bufio.NewReader(p)
	return p, nil
}

func (p *Conn) Read(b []byte) (int, error) {
	if p.readLimit <= 0 {
		return 0, errInvalidResponse
	}
	if int64(len(b)) > p.readLimit {
		b = b[:p.readLimit]
	}
	n, err := p.netConn.Read(b)
	p.readLimit -= int64(n)
	return n, err
}

// Addr is where the connection leads.
func (p *Conn) Addr() string { return p.netConn.RemoteAddr().String() }

// Close closes the connection.
func (p *Conn) Close() { p.netConn.Close() }

// isIdle says whether the connection is open and nothing has come on it since the last
// answer. Its deadline must lie ahead.
func (p *Conn) isIdle() bool {
	if p.reader.Buffered() > 0 {
		return false
	}
	quiet := false
	var b [1]byte
	err := p.rawConn.Read(func(fd uintptr) bool {
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

// awaitResponse waits until something comes, until the deadline or as long as the target is
// not given up; it returns false in that last case.
func (p *Conn) awaitResponse(ctx context.Context, till time.Time, dark func() bool) bool {
	p.readLimit = 4 * tuning.HeaderMax
	for wait := tuning.UnreachableCheckAfter; ; wait = tuning.UnreachableCheckEvery {
		at := time.Now().Add(wait)
		if !at.Before(till) {
			break
		}
		p.netConn.SetReadDeadline(at)
		_, err := p.reader.Peek(1)
		var ne net.Error
		if err == nil || !errors.As(err, &ne) || !ne.Timeout() || ctx.Err() != nil {
			break
		}
		if dark() && p.noResponseYet(till) {
			return false
		}
	}
	p.netConn.SetReadDeadline(till)
	if ctx.Err() != nil {
		p.netConn.SetDeadline(expiredDeadline())
	}
	return true
}

// silent says whether nothing has come. A read whose time is over does not look: an answer may have come
// meanwhile, and a process that is held up looks late.
func (p *Conn) noResponseYet(till time.Time) bool {
	p.netConn.SetReadDeadline(till)
	return p.isIdle()
}

// readHeader reads an answer's status and header.
func (p *Conn) readHeader(method string) (*http.Response, error) {
	req := &http.Request{Method: method}
	for range tuning.InterimMax {
		p.readLimit = 4 * tuning.HeaderMax
		resp, err := http.ReadResponse(p.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.ProtoMajor != 1 || resp.StatusCode < 100 || resp.StatusCode > 999 || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errInvalidResponse
		}
		if resp.StatusCode >= 200 {
			p.readLimit = 1 << 62
			p.noteKeepAlive(resp)
			return resp, nil
		}
	}
	return nil, errInvalidResponse
}

// noteKeepAlive notes how long the target says that it keeps the connection.
func (p *Conn) noteKeepAlive(resp *http.Response) {
	p.reuseUntil = time.Time{}
	for f := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(f), "=")
		if n, err := strconv.Atoi(v); err == nil && strings.EqualFold(k, "timeout") {
			p.reuseUntil = time.Now().Add(time.Duration(n)*time.Second - tuning.IdleTimeoutMargin)
		}
	}
}

// readUpTo reads up to max bytes; done is false if there is more.
func readUpTo(r io.Reader, max int) (b []byte, done bool, err error) {
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

// readComplete reads an answer's body up to max bytes; done is false if there is more of it.
func readComplete(resp *http.Response, max int) (b []byte, done bool, err error) {
	n := resp.ContentLength
	switch {
	case resp.Body == http.NoBody || n == 0:
		return nil, true, nil
	case n > int64(max):
		return nil, false, nil
	case n < 0:
		return readUpTo(resp.Body, max)
	}
	b = make([]byte, n)
	_, err = io.ReadFull(resp.Body, b)
	return b, err == nil, err
}

// Get asks for a path and reads a small answer whole. again says whether the connection
// can be used once more.
func (p *Conn) Get(till time.Time, host, path string, extra ...string) (resp *http.Response, body []byte, again bool, err error) {
	p.netConn.SetDeadline(till)
	if !p.fresh && !p.isIdle() {
		return nil, nil, false, net.ErrClosed
	}
	p.fresh = false
	b := append(p.writeBuffer[:0], "GET "...)
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	for i := 0; i+1 < len(extra); i += 2 {
		b = append(b, "\r\n"...)
		b = append(b, extra[i]...)
		b = append(b, ": "...)
		b = append(b, extra[i+1]...)
	}
	p.writeBuffer = append(b, "\r\n\r\n"...)
	if _, err = p.netConn.Write(p.writeBuffer); err != nil {
		return nil, nil, false, err
	}
	if resp, err = p.readHeader("GET"); err != nil {
		return nil, nil, false, err
	}
	var done bool
	body, done, err = readComplete(resp, tuning.ProbeBody)
	return resp, body, done && !resp.Close && p.reader.Buffered() == 0, err
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
type targetConns struct {
	slots       [tuning.IdleConnsMax]atomic.Pointer[Conn]
	removed     atomic.Bool
	unreachable atomic.Bool // nothing reaches the target
}

// put keeps a connection, and closes the longest unused ones so that n are left: one that was used
// just now serves every request, an old one only those that may be repeated.
func (s *targetConns) put(p *Conn, n int) {
	p.lastUsed.Store(int64(time.Since(processStart)))
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
		s.closeOldest()
	}
	for i := range s.slots {
		if s.slots[i].CompareAndSwap(nil, p) {
			if s.removed.Load() {
				s.close()
			}
			return
		}
	}
	p.Close()
}

// closeOldest closes the connection that has been unused for longest, if there is one.
func (s *targetConns) closeOldest() {
	var oldest *Conn
	at := 0
	for i := range s.slots {
		if p := s.slots[i].Load(); p != nil && (oldest == nil || p.lastUsed.Load() < oldest.lastUsed.Load()) {
			oldest, at = p, i
		}
	}
	if oldest != nil && s.slots[at].CompareAndSwap(oldest, nil) {
		oldest.Close()
	}
}

// take takes the connection that was used last, if that was less than idle ago. Its deadline is set.
func (s *targetConns) take(idle time.Duration, till time.Time) *Conn {
	for {
		var best *Conn
		at := 0
		for i := range s.slots {
			if p := s.slots[i].Load(); p != nil && (best == nil || p.lastUsed.Load() > best.lastUsed.Load()) {
				best, at = p, i
			}
		}
		if best == nil {
			return nil
		}
		now := time.Now()
		if best.idleFor(now) >= idle {
			return nil
		}
		if !s.slots[at].CompareAndSwap(best, nil) {
			continue
		}
		best.netConn.SetDeadline(till)
		if best.isExpired(now) || !best.isIdle() {
			best.Close()
			continue
		}
		return best
	}
}

func (p *Conn) idleFor(now time.Time) time.Duration {
	return now.Sub(processStart) - time.Duration(p.lastUsed.Load())
}

// stale says whether a connection that is the asker's own is too old to be used.
func (p *Conn) isExpired(now time.Time) bool {
	return p.idleFor(now) >= tuning.ConnIdle || !p.reuseUntil.IsZero() && now.After(p.reuseUntil)
}

func (s *targetConns) close() {
	for i := range s.slots {
		if p := s.slots[i].Swap(nil); p != nil {
			p.Close()
		}
	}
}

func (s *targetConns) closeExpired(now time.Time) {
	for i := range s.slots {
		p := s.slots[i].Swap(nil)
		if p != nil && (p.isExpired(now) || !s.slots[i].CompareAndSwap(nil, p)) {
			p.Close()
		}
	}
	if s.removed.Load() {
		s.close()
	}
}

// Pool is the shelves of the table's targets.
type Pool struct {
	targets atomic.Pointer[map[wire.TargetID]*targetConns]
	stop    chan struct{}
}

func NewPool() *Pool {
	p := &Pool{stop: make(chan struct{})}
	p.targets.Store(&map[wire.TargetID]*targetConns{})
	go func() {
		sweep := time.NewTicker(tuning.ConnIdle / 4)
		defer sweep.Stop()
		for {
			select {
			case now := <-sweep.C:
				for _, s := range *p.targets.Load() {
					s.closeExpired(now)
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
	old := *p.targets.Load()
	next := make(map[wire.TargetID]*targetConns, len(m))
	for id := range m {
		if next[id] = old[id]; next[id] == nil {
			next[id] = &targetConns{}
		}
	}
	p.targets.Store(&next)
	for id, s := range old {
		if next[id] == nil {
			s.removed.Store(true)
			s.close()
		}
	}
}

// SetUnreachable tells the pool which targets nothing reaches.
func (p *Pool) SetUnreachable(ids map[wire.TargetID]bool) {
	for id, s := range *p.targets.Load() {
		s.unreachable.Store(ids[id])
	}
}

func (p *Pool) isUnreachable(id wire.TargetID) bool {
	s := (*p.targets.Load())[id]
	return s != nil && s.unreachable.Load()
}

// Close closes all idle connections, and those that come back later.
func (p *Pool) Close() {
	close(p.stop)
	p.SetTargets(nil)
}

func (p *Pool) take(id wire.TargetID, idle time.Duration, till time.Time) *Conn {
	if s := (*p.targets.Load())[id]; s != nil {
		return s.take(idle, till)
	}
	return nil
}

func (p *Pool) put(id wire.TargetID, x *Conn, n int) {
	if s := (*p.targets.Load())[id]; s != nil {
		s.put(x, n)
	} else {
		x.Close()
	}
}

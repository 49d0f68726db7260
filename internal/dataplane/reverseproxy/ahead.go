// This file has pipelined requests begin before the ones ahead of them are answered.
// The library's server reads a caller's next request only after the answer to the one
// before. A caller's connection looks at what it hands to that server: while one request
// is under way, a further one that is complete, plain and bodiless is begun aside, and its
// answer kept until the server comes to it in the usual way. So bytes, order and framing
// stay the server's; whatever is not plain in every byte ends the looking ahead for good.

package reverseproxy

import (
	"bufio"
	"bytes"
	"context"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"myrtlefold/internal/shared/tuning"
)

type callerKey struct{}

// WrapListener has its connections look ahead; the intake ends with it.
func (c *Forwarder) WrapListener(ln net.Listener) net.Listener {
	c.Callers.listener.Store(&ln)
	return listener{ln, c}
}

type listener struct {
	net.Listener
	c *Forwarder
}

func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	p := &caller{Conn: conn, c: l.c, early: make(chan *early, tuning.PipelineMax), late: l.c.Draining.Load()}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p, nil
}

// ConnContext tells requests which connection they came on; it is the server's ConnContext.
func (c *Forwarder) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if p, ok := conn.(*caller); ok {
		return context.WithValue(ctx, callerKey{}, p)
	}
	return ctx
}

// caller is a caller's connection. Reads follow one another, and so do requests.
type caller struct {
	net.Conn
	c      *Forwarder
	ctx    context.Context
	cancel context.CancelFunc
	early  chan *early
	late   bool // it was opened after the proxy began to stop

	// The reading side's.
	buf   []byte
	in    []byte // read and not yet handed on
	head  []byte // what was handed on of the request whose header is not complete
	heads int    // requests whose header was handed on
	blind bool   // something not plain came: nothing is looked at any more

	// The requests' side's.
	served int
	next   *early
	busy   bool // a request is under way

	// ahead is how many are begun and not answered; below 0: none is begun any more.
	ahead atomic.Int64
}

func (p *caller) Close() error {
	p.cancel()
	return p.Conn.Close()
}

// CloseWrite is what the server ends a connection with that its other side still writes to.
func (p *caller) CloseWrite() error {
	if t, ok := p.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

var headEnd = []byte("\r\n\r\n")

// Read hands on at most what completes one header, so that what follows stays here.
func (p *caller) Read(b []byte) (int, error) {
	if len(p.in) == 0 {
		if p.blind {
			return p.Conn.Read(b)
		}
		if p.buf == nil {
			p.buf = make([]byte, tuning.PipelineReadAhead)
		}
		n, err := p.Conn.Read(p.buf)
		if n == 0 {
			return 0, err
		}
		p.in = p.buf[:n]
		// The server reads one byte while a request runs: then the first header is ahead too.
		p.look(len(b) == 1 && p.heads > 0 && len(p.head) == 0)
	}
	n := min(len(b), len(p.in))
	if !p.blind {
		was := len(p.head)
		p.head = append(p.head, p.in[:n]...)
		if at := bytes.Index(p.head[max(0, was-3):], headEnd); at >= 0 {
			end := max(0, was-3) + at + len(headEnd)
			n = end - was
			p.heads++
			p.blind = !simple(p.head[:end])
			p.head = p.head[:0]
		} else if len(p.head) > tuning.PipelineReadAhead {
			p.blind, p.head = true, nil
		}
	}
	copy(b, p.in[:n])
	p.in = p.in[n:]
	return n, nil
}

// look begins the requests that lie complete in what has come; the first one is the
// server's, unless it is under way with another.
func (p *caller) look(busy bool) {
	rest, id := p.in, p.heads+1
	if !busy {
		if bytes.HasSuffix(rest, headEnd) && bytes.Count(rest, headEnd) == 1 {
			return // the usual case: one request
		}
		all := append(bytes.Clone(p.head), rest...)
		at := bytes.Index(all, headEnd)
		if at < 0 || !simple(all[:at+len(headEnd)]) {
			return
		}
		rest, id = all[at+len(headEnd):], id+1
	}
	for {
		at := bytes.Index(rest, headEnd)
		if at < 0 {
			return
		}
		head := rest[:at+len(headEnd)]
		if !simple(head) || !p.begin(id, bytes.Clone(head)) {
			return
		}
		rest, id = rest[len(head):], id+1
	}
}

// simple says whether a header is a whole request that can be read in one way only.
func simple(head []byte) bool {
	lines := strings.Split(string(head), "\r\n")
	f := strings.Split(lines[0], " ")
	if len(f) != 3 || f[0] != "GET" && f[0] != "HEAD" || !strings.HasPrefix(f[1], "/") || f[2] != "HTTP/1.1" || len(lines) < 3 {
		return false
	}
	hosts := 0
	for _, l := range lines {
		for i := range len(l) {
			if l[i] < ' ' || l[i] > '~' {
				return false
			}
		}
	}
	for _, l := range lines[1 : len(lines)-2] {
		k, v, ok := strings.Cut(l, ":")
		if !ok || k == "" || strings.Trim(k, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") != "" {
			return false
		}
		switch strings.ToLower(k) {
		case "host":
			if hosts++; strings.Trim(strings.TrimSpace(v), "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.:-") != "" {
				return false
			}
		case "connection", "content-length", "transfer-encoding", "upgrade", "expect", "trailer":
			return false
		}
	}
	return hosts == 1
}

// begin begins the id-th request of the connection, unless as many are ahead as may be
// or the connection is to end.
func (p *caller) begin(id int, head []byte) bool {
	if p.c.Draining.Load() {
		return false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return false
	}
	for {
		n := p.ahead.Load()
		if n < 0 || n >= tuning.PipelineMax {
			return false
		}
		if p.ahead.CompareAndSwap(n, n+1) {
			break
		}
	}
	r.RemoteAddr = p.RemoteAddr().String()
	e := &early{id: id, r: r.WithContext(p.ctx), header: http.Header{}, to: make(chan http.ResponseWriter), done: make(chan struct{})}
	p.c.Counts.Pipelined.Add(1)
	go e.run(p.c)
	p.early <- e
	return true
}

// take is what was begun of the request that the server has come to, nil if nothing was.
func (p *caller) take(r *http.Request) *early {
	p.served++
	if p.next == nil {
		select {
		case p.next = <-p.early:
		default:
		}
	}
	e := p.next
	if e == nil || e.id > p.served {
		return nil
	}
	if e.id < p.served || e.r.Method != r.Method || e.r.RequestURI != r.RequestURI || e.r.Host != r.Host || !maps.EqualFunc(e.r.Header, r.Header, func(a, b []string) bool { return strings.Join(a, "\n") == strings.Join(b, "\n") }) {
		panic(http.ErrAbortHandler) // what was begun is not what the server read: nothing is answered
	}
	p.next = nil
	return e
}

// countLate counts a request that is taken although the proxy is stopping.
func (p *caller) countLate() {
	switch {
	case !p.c.Draining.Load():
	case p.late:
		p.c.Counts.DrainingNewConns.Add(1)
	default:
		p.c.Counts.DrainingOldConns.Add(1)
	}
}

// last says that the connection may end after this answer: nothing is ahead, nor will be.
func (p *caller) last() bool {
	return p.ahead.Load() < 0 || p.ahead.CompareAndSwap(0, -1)
}

// ServeHTTP carries a request, or hands on the answer to one that was begun ahead.
func (c *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p, _ := r.Context().Value(callerKey{}).(*caller)
	if p == nil {
		c.serve(w, r)
		return
	}
	p.busy = true
	defer func() { p.busy = false }()
	p.countLate()
	e := p.take(r)
	if e == nil {
		c.serve(ender{w, p}, r)
		return
	}
	defer context.AfterFunc(r.Context(), p.cancel)()
	select {
	case <-e.done:
	case e.to <- ender{w, p}:
		<-e.done
	case <-r.Context().Done():
		p.cancel()
		<-e.done
		panic(http.ErrAbortHandler)
	}
	p.ahead.Add(-1)
	if e.failed != nil {
		panic(e.failed)
	}
	if e.deferred {
		c.Counts.Requests.Add(^uint64(0)) // it was counted when it was looked at
		c.serve(ender{w, p}, r)
		return
	}
	if e.w == nil {
		e.hand(ender{w, p})
	}
}

// ender has the answers of a stopping proxy end their connections, also to requests that were begun
// before the stop, and takes that back while others are ahead on a connection.
type ender struct {
	http.ResponseWriter
	p *caller
}

func (w ender) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w ender) WriteHeader(status int) {
	if w.p.c.Draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if w.Header().Get("Connection") == "close" && !w.p.last() {
		w.Header().Del("Connection")
	}
	w.ResponseWriter.WriteHeader(status)
}

// early is a request that was begun ahead, and its answer: kept, or, if it is larger
// than what is kept, written on by its own goroutine once the server has come to it.
type early struct {
	id     int
	r      *http.Request
	header http.Header
	status int
	body   []byte
	to     chan http.ResponseWriter
	w      http.ResponseWriter
	done   chan struct{}
	failed any // what it panicked with
	// deferred: nothing was sent, since it may run only once; it is served when its turn comes.
	deferred bool
}

func (e *early) run(c *Forwarder) {
	defer close(e.done)
	defer func() { e.failed = recover() }()
	c.serve(e, e.r)
	if e.deferred {
		c.Counts.Deferred.Add(1)
	}
}

func (e *early) Header() http.Header { return e.header }

func (e *early) WriteHeader(status int) {
	if e.status == 0 {
		e.status = status
	}
}

func (e *early) Write(b []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	if e.w == nil && len(e.body)+len(b) <= tuning.ResponseBufferMax {
		e.body = append(e.body, b...)
		return len(b), nil
	}
	if e.w == nil {
		select {
		case w := <-e.to:
			if err := e.hand(w); err != nil {
				return 0, err
			}
		case <-e.r.Context().Done():
			return 0, e.r.Context().Err()
		}
	}
	return e.w.Write(b)
}

// Flush flushes what is handed on already.
func (e *early) Flush() {
	if e.w != nil {
		http.NewResponseController(e.w).Flush()
	}
}

// hand gives the answer, as far as it is there, to the server's writer.
func (e *early) hand(w http.ResponseWriter) error {
	e.w = w
	maps.Copy(w.Header(), e.header)
	e.header = w.Header()
	w.WriteHeader(e.status)
	b := e.body
	e.body = nil
	if len(b) == 0 {
		return nil
	}
	_, err := w.Write(b)
	return err
}

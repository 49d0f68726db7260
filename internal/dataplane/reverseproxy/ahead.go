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

type callerConnKey struct{}

// WrapListener has its connections look ahead; the intake ends with it.
func (c *Forwarder) WrapListener(ln net.Listener) net.Listener {
	c.Callers.listener.Store(&ln)
	return callerListener{ln, c}
}

type callerListener struct {
	net.Listener
	forwarder *Forwarder
}

func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	p := &callerConn{Conn: conn, forwarder: l.forwarder, pipelined: make(chan *pipelinedRequest, tuning.PipelineMax), openedWhileDraining: l.forwarder.Draining.Load()}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p, nil
}

// ConnContext tells requests which connection they came on; it is the server's ConnContext.
func (c *Forwarder) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if p, ok := conn.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, p)
	}
	return ctx
}

// callerConn is a callerConn's connection. Reads follow one another, and so do requests.
type callerConn struct {
	net.Conn
	forwarder           *Forwarder
	ctx                 context.Context
	cancel              context.CancelFunc
	pipelined           chan *pipelinedRequest
	openedWhileDraining bool // it was opened after the proxy began to stop

	// The reading side's.
	readBuffer  []byte
	unread      []byte // read and not yet handed on
	header      []byte // what was handed on of the request whose header is not complete
	headersRead int    // requests whose header was handed on
	opaque      bool   // something not plain came: nothing is looked at any more

	// The requests' side's.
	served        int
	nextPipelined *pipelinedRequest
	requestActive bool // a request is under way

	// unanswered is how many are begun and not answered; below 0: none is begun any more.
	unanswered atomic.Int64
}

func (p *callerConn) Close() error {
	p.cancel()
	return p.Conn.Close()
}

// CloseWrite is what the server ends a connection with that its other side still writes to.
func (p *callerConn) CloseWrite() error {
	if t, ok := p.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

var headerEnd = []byte("\r\n\r\n")

// Read hands on at most what completes one header, so that what follows stays here.
func (p *callerConn) Read(b []byte) (int, error) {
	if len(p.unread) == 0 {
		if p.opaque {
			return p.Conn.Read(b)
		}
		if p.readBuffer == nil {
			p.readBuffer = make([]byte, tuning.PipelineReadAhead)
		}
		n, err := p.Conn.Read(p.readBuffer)
		if n == 0 {
			return 0, err
		}
		p.unread = p.readBuffer[:n]
		// The server reads one byte while a request runs: then the first header is ahead too.
		p.scan(len(b) == 1 && p.headersRead > 0 && len(p.header) == 0)
	}
	n := min(len(b), len(p.unread))
	if !p.opaque {
		was := len(p.header)
		p.header = append(p.header, p.unread[:n]...)
		if at := bytes.Index(p.header[max(0, was-3):], headerEnd); at >= 0 {
			end := max(0, was-3) + at + len(headerEnd)
			n = end - was
			p.headersRead++
			p.opaque = !isPlainRequest(p.header[:end])
			p.header = p.header[:0]
		} else if len(p.header) > tuning.PipelineReadAhead {
			p.opaque, p.header = true, nil
		}
	}
	copy(b, p.unread[:n])
	p.unread = p.unread[n:]
	return n, nil
}

// scan begins the requests that lie complete in what has come; the first one is the
// server's, unless it is under way with another.
func (p *callerConn) scan(busy bool) {
	rest, id := p.unread, p.headersRead+1
	if !busy {
		if bytes.HasSuffix(rest, headerEnd) && bytes.Count(rest, headerEnd) == 1 {
			return // the usual case: one request
		}
		all := append(bytes.Clone(p.header), rest...)
		at := bytes.Index(all, headerEnd)
		if at < 0 || !isPlainRequest(all[:at+len(headerEnd)]) {
			return
		}
		rest, id = all[at+len(headerEnd):], id+1
	}
	for {
		at := bytes.Index(rest, headerEnd)
		if at < 0 {
			return
		}
		head := rest[:at+len(headerEnd)]
		if !isPlainRequest(head) || !p.startPipelined(id, bytes.Clone(head)) {
			return
		}
		rest, id = rest[len(head):], id+1
	}
}

// simple says whether a header is a whole request that can be read in one way only.
func isPlainRequest(head []byte) bool {
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

// startPipelined begins the id-th request of the connection, unless as many are ahead as may be
// or the connection is to end.
func (p *callerConn) startPipelined(id int, head []byte) bool {
	if p.forwarder.Draining.Load() {
		return false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return false
	}
	for {
		n := p.unanswered.Load()
		if n < 0 || n >= tuning.PipelineMax {
			return false
		}
		if p.unanswered.CompareAndSwap(n, n+1) {
			break
		}
	}
	r.RemoteAddr = p.RemoteAddr().String()
	e := &pipelinedRequest{number: id, request: r.WithContext(p.ctx), header: http.Header{}, writers: make(chan http.ResponseWriter), done: make(chan struct{})}
	p.forwarder.Counts.Pipelined.Add(1)
	go e.run(p.forwarder)
	p.pipelined <- e
	return true
}

// takePipelined is what was begun of the request that the server has come to, nil if nothing was.
func (p *callerConn) takePipelined(r *http.Request) *pipelinedRequest {
	p.served++
	if p.nextPipelined == nil {
		select {
		case p.nextPipelined = <-p.pipelined:
		default:
		}
	}
	e := p.nextPipelined
	if e == nil || e.number > p.served {
		return nil
	}
	if e.number < p.served || e.request.Method != r.Method || e.request.RequestURI != r.RequestURI || e.request.Host != r.Host || !maps.EqualFunc(e.request.Header, r.Header, func(a, b []string) bool { return strings.Join(a, "\n") == strings.Join(b, "\n") }) {
		panic(http.ErrAbortHandler) // what was begun is not what the server read: nothing is answered
	}
	p.nextPipelined = nil
	return e
}

// countDraining counts a request that is taken although the proxy is stopping.
func (p *callerConn) countDraining() {
	switch {
	case !p.forwarder.Draining.Load():
	case p.openedWhileDraining:
		p.forwarder.Counts.DrainingNewConns.Add(1)
	default:
		p.forwarder.Counts.DrainingOldConns.Add(1)
	}
}

// endPipelining says that the connection may end after this answer: nothing is ahead, nor will be.
func (p *callerConn) endPipelining() bool {
	return p.unanswered.Load() < 0 || p.unanswered.CompareAndSwap(0, -1)
}

// ServeHTTP carries a request, or hands on the answer to one that was begun ahead.
func (c *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	if p == nil {
		c.serve(w, r)
		return
	}
	p.requestActive = true
	defer func() { p.requestActive = false }()
	p.countDraining()
	e := p.takePipelined(r)
	if e == nil {
		c.serve(closingWriter{w, p}, r)
		return
	}
	defer context.AfterFunc(r.Context(), p.cancel)()
	select {
	case <-e.done:
	case e.writers <- closingWriter{w, p}:
		<-e.done
	case <-r.Context().Done():
		p.cancel()
		<-e.done
		panic(http.ErrAbortHandler)
	}
	p.unanswered.Add(-1)
	if e.panicked != nil {
		panic(e.panicked)
	}
	if e.deferred {
		c.Counts.Requests.Add(^uint64(0)) // it was counted when it was looked at
		c.serve(closingWriter{w, p}, r)
		return
	}
	if e.writer == nil {
		e.passTo(closingWriter{w, p})
	}
}

// closingWriter has the answers of a stopping proxy end their connections, also to requests that were begun
// before the stop, and takes that back while others are ahead on a connection.
type closingWriter struct {
	http.ResponseWriter
	conn *callerConn
}

func (w closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w closingWriter) WriteHeader(status int) {
	if w.conn.forwarder.Draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if w.Header().Get("Connection") == "close" && !w.conn.endPipelining() {
		w.Header().Del("Connection")
	}
	w.ResponseWriter.WriteHeader(status)
}

// pipelinedRequest is a request that was begun ahead, and its answer: kept, or, if it is larger
// than what is kept, written on by its own goroutine once the server has come to it.
type pipelinedRequest struct {
	number   int
	request  *http.Request
	header   http.Header
	status   int
	body     []byte
	writers  chan http.ResponseWriter
	writer   http.ResponseWriter
	done     chan struct{}
	panicked any // what it panicked with
	// deferred: nothing was sent, since it may run only once; it is served when its turn comes.
	deferred bool
}

func (e *pipelinedRequest) run(c *Forwarder) {
	defer close(e.done)
	defer func() { e.panicked = recover() }()
	c.serve(e, e.request)
	if e.deferred {
		c.Counts.Deferred.Add(1)
	}
}

func (e *pipelinedRequest) Header() http.Header { return e.header }

func (e *pipelinedRequest) WriteHeader(status int) {
	if e.status == 0 {
		e.status = status
	}
}

func (e *pipelinedRequest) Write(b []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	if e.writer == nil && len(e.body)+len(b) <= tuning.ResponseBufferMax {
		e.body = append(e.body, b...)
		return len(b), nil
	}
	if e.writer == nil {
		select {
		case w := <-e.writers:
			if err := e.passTo(w); err != nil {
				return 0, err
			}
		case <-e.request.Context().Done():
			return 0, e.request.Context().Err()
		}
	}
	return e.writer.Write(b)
}

// Flush flushes what is handed on already.
func (e *pipelinedRequest) Flush() {
	if e.writer != nil {
		http.NewResponseController(e.writer).Flush()
	}
}

// passTo gives the answer, as far as it is there, to the server's writer.
func (e *pipelinedRequest) passTo(w http.ResponseWriter) error {
	e.writer = w
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

// This file starts pipelined requests before the ones ahead of them on their connection are answered. net/http's
// server reads a caller's next request only after the response to the one before. A callerConn therefore looks at
// the bytes that the server reads: while one request is being served, a further one that is complete, plain and
// without a body is started on a goroutine of its own, and its response is kept until the server has come to it in
// the usual way. So bytes, order and framing remain the server's. Once something comes that is not a plain request
// in each byte, nothing more is interpreted on that connection.

package reverseproxy

import (
	"bufio"
	"bytes"
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// headerEnd is what a header ends with.
var headerEnd = []byte("\r\n\r\n")

// Read gives the server at most what completes one header, so that what follows stays in the connection's buffer.
func (c *callerConn) Read(buffer []byte) (int, error) {
	if len(c.unread) == 0 {
		if c.opaque {
			return c.Conn.Read(buffer)
		}
		if n, err := c.fill(); n == 0 {
			return 0, err
		}
		// The server reads one byte while it serves a request: then the first header that came is a further
		// request's.
		c.scan(len(buffer) == 1 && c.headersRead > 0 && len(c.header) == 0)
	}
	n := min(len(buffer), len(c.unread))
	if !c.opaque {
		n = c.followHeader(c.unread[:n])
	}
	copy(buffer, c.unread[:n])
	c.unread = c.unread[n:]
	return n, nil
}

// fill reads from the caller and returns how many bytes came.
func (c *callerConn) fill() (int, error) {
	if c.readBuffer == nil {
		c.readBuffer = make([]byte, tuning.PipelineReadAhead)
	}
	n, err := c.Conn.Read(c.readBuffer)
	c.unread = c.readBuffer[:n]
	return n, err
}

// followHeader takes in what the server reads next, and returns how much of it belongs to the present header.
func (c *callerConn) followHeader(next []byte) int {
	before := len(c.header)
	c.header = append(c.header, next...)
	from := max(0, before-len(headerEnd)+1)
	if at := bytes.Index(c.header[from:], headerEnd); at >= 0 {
		end := from + at + len(headerEnd)
		c.headersRead++
		c.opaque = !isPlainRequest(c.header[:end])
		c.header = c.header[:0]
		return end - before
	}
	if len(c.header) > tuning.PipelineReadAhead {
		c.opaque, c.header = true, nil
	}
	return len(next)
}

// scan starts the requests that are complete in what has come, but for the first one, which is the server's; if the
// server is serving another one (serving), also that.
func (c *callerConn) scan(serving bool) {
	rest, number := c.unread, c.headersRead+1
	if !serving {
		if bytes.HasSuffix(rest, headerEnd) && bytes.Count(rest, headerEnd) == 1 {
			return // the usual case: one request
		}
		all := append(bytes.Clone(c.header), rest...)
		first, following, complete := cutHeader(all)
		if !complete || !isPlainRequest(first) {
			return
		}
		rest, number = following, number+1
	}
	for {
		header, following, complete := cutHeader(rest)
		if !complete || !isPlainRequest(header) || !c.startPipelined(number, bytes.Clone(header)) {
			return
		}
		rest, number = following, number+1
	}
}

// cutHeader splits what came after the first complete header.
func cutHeader(data []byte) (header, rest []byte, complete bool) {
	at := bytes.Index(data, headerEnd)
	if at < 0 {
		return nil, data, false
	}
	end := at + len(headerEnd)
	return data[:end], data[end:], true
}

const (
	headerNameBytes = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
	hostBytes       = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.:-"
)

// framingHeaders change where a request ends or what becomes of its connection.
var framingHeaders = []string{"connection", "content-length", "transfer-encoding", "upgrade", "expect", "trailer"}

// isPlainRequest reports whether a header is a complete request without a body that can be read in one way only.
func isPlainRequest(header []byte) bool {
	lines := strings.Split(string(header), "\r\n")
	if len(lines) < 3 || !isPlainRequestLine(lines[0]) {
		return false
	}
	for _, line := range lines {
		if strings.ContainsFunc(line, isNotPrintable) {
			return false
		}
	}
	hosts := 0
	for _, line := range lines[1 : len(lines)-2] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.Trim(name, headerNameBytes) != "" {
			return false
		}
		name = strings.ToLower(name)
		if slices.Contains(framingHeaders, name) {
			return false
		}
		if name == "host" {
			hosts++
			if strings.Trim(strings.TrimSpace(value), hostBytes) != "" {
				return false
			}
		}
	}
	return hosts == 1
}

// isPlainRequestLine reports whether a request line asks for a path, by a method whose requests have no body.
func isPlainRequestLine(line string) bool {
	fields := strings.Split(line, " ")
	return len(fields) == 3 && (fields[0] == http.MethodGet || fields[0] == http.MethodHead) &&
		strings.HasPrefix(fields[1], "/") && fields[2] == "HTTP/1.1"
}

// isNotPrintable reports whether a character is none of ASCII's printable ones.
func isNotPrintable(char rune) bool { return char < ' ' || char > '~' }

// hasToWait reports whether the owner has a pipelined request wait for its turn.
func hasToWait(command statemachine.Command) bool {
	rejection, ok := command.(statemachine.Reject)
	return ok && rejection.Code == statemachine.CodeNotPipelined
}

// startPipelined starts the connection's request of that number, from 1, before its turn. It returns false if as
// many are started as may be, or if the connection is to end.
func (c *callerConn) startPipelined(number int, header []byte) bool {
	if c.forwarder.Draining.Load() {
		return false
	}
	incoming, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(header)))
	if err != nil || !c.addUnanswered() {
		return false
	}
	incoming.RemoteAddr = c.RemoteAddr().String()
	started := &pipelinedRequest{
		number:  number,
		request: incoming.WithContext(c.ctx),
		header:  http.Header{},
		writers: make(chan http.ResponseWriter),
		done:    make(chan struct{}),
	}
	c.forwarder.Counts.Pipelined.Add(1)
	go started.run(c.forwarder)
	c.pipelined <- started
	return true
}

// addUnanswered counts a pipelined request that starts. It returns false if none may start now.
func (c *callerConn) addUnanswered() bool {
	for {
		n := c.unanswered.Load()
		if n < 0 || n >= tuning.PipelineMax {
			return false
		}
		if c.unanswered.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// endPipelining has no more requests start before their turn, so that the connection may end. It returns false, and
// changes nothing, while some are unanswered.
func (c *callerConn) endPipelining() bool {
	return c.unanswered.Load() < 0 || c.unanswered.CompareAndSwap(0, -1)
}

// takePipelined returns what was started of the request that the server has come to, nil if nothing was. It panics
// with http.ErrAbortHandler if that is not what the server read: then nothing is answered.
func (c *callerConn) takePipelined(incoming *http.Request) *pipelinedRequest {
	c.served++
	if c.nextPipelined == nil {
		select {
		case c.nextPipelined = <-c.pipelined:
		default:
		}
	}
	started := c.nextPipelined
	if started == nil || started.number > c.served {
		return nil
	}
	if started.number < c.served || !sameRequest(started.request, incoming) {
		panic(http.ErrAbortHandler)
	}
	c.nextPipelined = nil
	return started
}

// sameRequest reports whether two requests without a body are the same.
func sameRequest(a, b *http.Request) bool {
	return a.Method == b.Method && a.RequestURI == b.RequestURI && a.Host == b.Host &&
		maps.EqualFunc(a.Header, b.Header, slices.Equal[[]string])
}

// finishPipelined passes on the response to a request that was started before its turn, now that the server has
// come to it.
func (f *Forwarder) finishPipelined(w closingWriter, r *http.Request, started *pipelinedRequest) {
	defer context.AfterFunc(r.Context(), w.conn.cancel)()
	select {
	case <-started.done:
	case started.writers <- w:
		<-started.done
	case <-r.Context().Done():
		w.conn.cancel()
		<-started.done
		panic(http.ErrAbortHandler)
	}
	w.conn.unanswered.Add(-1)
	switch {
	case started.panicked != nil:
		panic(started.panicked)
	case started.deferred:
		f.Counts.Requests.Add(^uint64(0)) // it was counted when it was started
		f.serve(w, r)
	case started.writer == nil:
		started.passTo(w)
	}
}

// pipelinedRequest is a request that was started before its turn, and the http.ResponseWriter of its response. The
// response is kept; if it is larger than what is kept, its own goroutine writes it on once the server has come to
// the request.
type pipelinedRequest struct {
	number  int // on its connection, from 1
	request *http.Request
	header  http.Header
	status  int // 0: not written yet
	body    []byte
	writers chan http.ResponseWriter // brings the server's writer once the server has come to the request
	writer  http.ResponseWriter      // nil: the response is kept

	// done is closed when the request's goroutine has ended. The fields below are set by then.
	done     chan struct{}
	panicked any  // what it panicked with
	deferred bool // nothing was sent, since it may run only once; it is served when its turn has come
}

// run serves the request. Its goroutine ends with the request, at the latest when the caller's connection has
// ended.
func (p *pipelinedRequest) run(forwarder *Forwarder) {
	defer close(p.done)
	defer func() { p.panicked = recover() }()
	forwarder.serve(p, p.request)
	if p.deferred {
		forwarder.Counts.Deferred.Add(1)
	}
}

// Header returns the response's header.
func (p *pipelinedRequest) Header() http.Header { return p.header }

// WriteHeader sets the response's status.
func (p *pipelinedRequest) WriteHeader(status int) {
	if p.status == 0 {
		p.status = status
	}
}

// Write keeps some of the body or, if that is too large, waits for the server's writer and writes it on.
func (p *pipelinedRequest) Write(data []byte) (int, error) {
	p.WriteHeader(http.StatusOK)
	if p.writer == nil {
		if len(p.body)+len(data) <= tuning.ResponseBufferMax {
			p.body = append(p.body, data...)
			return len(data), nil
		}
		if err := p.awaitWriter(); err != nil {
			return 0, err
		}
	}
	return p.writer.Write(data)
}

// awaitWriter waits until the server has come to the request, and writes on what is kept.
func (p *pipelinedRequest) awaitWriter() error {
	select {
	case w := <-p.writers:
		return p.passTo(w)
	case <-p.request.Context().Done():
		return p.request.Context().Err()
	}
}

// Flush flushes what was written on already.
func (p *pipelinedRequest) Flush() {
	if p.writer != nil {
		http.NewResponseController(p.writer).Flush()
	}
}

// passTo writes the response, as far as it is there, to the server's writer.
func (p *pipelinedRequest) passTo(w http.ResponseWriter) error {
	p.writer = w
	maps.Copy(w.Header(), p.header)
	p.header = w.Header()
	w.WriteHeader(p.status)
	kept := p.body
	p.body = nil
	if len(kept) == 0 {
		return nil
	}
	_, err := w.Write(kept)
	return err
}

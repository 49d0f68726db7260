// This file starts pipelined requests before their turn, which comes when the requests ahead of them on their
// connection have been answered. net/http's server reads a caller's next request only after it has written the response
// to the previous one. A callerConn therefore inspects the bytes that the server reads: while one request is being
// served, each further request that is complete, plain (isPlainRequest) and without a body is started on its own
// goroutine. Its response is held back until the server reaches the request in the usual way, so reading, ordering and
// framing remain with the server. After anything other than a plain request, the connection's data is passed through
// without parsing.

package reverseproxy

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// headerEnd is the end of a request's header: an empty line.
var headerEnd = []byte("\r\n\r\n")

// Read returns at most the bytes that complete the current header, so that anything after it stays in the connection's
// buffer.
func (c *callerConn) Read(buffer []byte) (int, error) {
	if c.inputClosed.Load() {
		return 0, io.EOF
	}
	if len(c.unread) == 0 {
		if c.opaque {
			return c.Conn.Read(buffer)
		}
		if n, err := c.fill(); n == 0 {
			return 0, err
		}
		// While it serves a request, net/http's server reads a single byte in the background. In that case the
		// first header in the buffer belongs to the next request, not to the one being served.
		c.scanForRequests(len(buffer) == 1 && c.headersRead > 0 && len(c.header) == 0)
	}
	n := min(len(buffer), len(c.unread))
	if !c.opaque {
		n = c.trackHeader(c.unread[:n])
	}
	copy(buffer, c.unread[:n])
	c.unread = c.unread[n:]
	return n, nil
}

// fill reads from the caller into the buffer and returns the number of bytes read.
func (c *callerConn) fill() (int, error) {
	if c.readBuffer == nil {
		c.readBuffer = make([]byte, tuning.PipelineReadAhead)
	}
	n, err := c.Conn.Read(c.readBuffer)
	c.unread = c.readBuffer[:n]
	return n, err
}

// trackHeader records the bytes that the server reads next and returns how many of them belong to the current header.
func (c *callerConn) trackHeader(next []byte) int {
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

// scanForRequests starts the complete requests in the unread data. The first one is left to the server, unless the
// server is already serving an earlier request (serving).
func (c *callerConn) scanForRequests(serving bool) {
	rest, number := c.unread, c.headersRead+1
	if !serving {
		if bytes.HasSuffix(rest, headerEnd) && bytes.Count(rest, headerEnd) == 1 {
			return // the common case: a single request
		}
		all := append(bytes.Clone(c.header), rest...)
		first, following, complete := splitHeader(all)
		if !complete || !isPlainRequest(first) {
			return
		}
		rest, number = following, number+1
	}
	for {
		header, following, complete := splitHeader(rest)
		if !complete || !isPlainRequest(header) || !c.startPipelined(number, bytes.Clone(header)) {
			return
		}
		rest, number = following, number+1
	}
}

// splitHeader splits data after the first complete header. complete is false if there is none.
func splitHeader(data []byte) (header, rest []byte, complete bool) {
	at := bytes.Index(data, headerEnd)
	if at < 0 {
		return nil, data, false
	}
	end := at + len(headerEnd)
	return data[:end], data[end:], true
}

// Characters that are allowed in a plain request's header names and host.
const (
	headerNameBytes = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
	hostBytes       = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.:-"
)

// framingHeaders are headers that affect where a request ends or how its connection is used afterwards.
var framingHeaders = []string{"connection", "content-length", "transfer-encoding", "upgrade", "expect", "trailer"}

// isPlainRequest reports whether a header is that of a request without a body and has only one interpretation. Such a
// header is the complete request.
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

// isPlainRequestLine reports whether a request line is a GET or HEAD of a path over HTTP/1.1.
func isPlainRequestLine(line string) bool {
	fields := strings.Split(line, " ")
	return len(fields) == 3 && (fields[0] == http.MethodGet || fields[0] == http.MethodHead) &&
		strings.HasPrefix(fields[1], "/") && fields[2] == "HTTP/1.1"
}

// isNotPrintable reports whether a character is outside printable ASCII.
func isNotPrintable(char rune) bool { return char < ' ' || char > '~' }

// mustWait reports whether the state machine refused to start a pipelined request before its turn.
func mustWait(command statemachine.Command) bool {
	rejection, ok := command.(statemachine.Reject)
	return ok && rejection.Code == statemachine.CodeNotPipelined
}

// startPipelined starts the request with the given number on the connection (the first is 1) before its turn. It
// returns false if the header can't be parsed, if the limit of pipelined requests is reached, or if the connection is
// about to be closed.
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

// addUnanswered counts one more unanswered pipelined request. It returns false if none may be started now.
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

// endPipelining prevents further requests from being started before their turn, so that the connection may be closed.
// While pipelined requests are unanswered it changes nothing and returns false.
func (c *callerConn) endPipelining() bool {
	return c.unanswered.Load() < 0 || c.unanswered.CompareAndSwap(0, -1)
}

// takePipelined returns the pipelined request for the request that the server has reached, or nil if that was not
// started before its turn. If the two differ, takePipelined panics with http.ErrAbortHandler: the connection is closed
// without a response.
func (c *callerConn) takePipelined(incoming *http.Request) *pipelinedRequest {
	c.requestsServed++
	if c.nextPipelined == nil {
		select {
		case c.nextPipelined = <-c.pipelined:
		default:
		}
	}
	started := c.nextPipelined
	if started == nil || started.number > c.requestsServed {
		return nil
	}
	if started.number < c.requestsServed || !sameRequest(started.request, incoming) {
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

// finishPipelined passes on the response to a request that was started before its turn and that the server has now
// reached.
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
		started.writeTo(w)
	}
}

// pipelinedRequest is a request that was started before its turn. It is also the http.ResponseWriter for its response,
// which it buffers. If the response is larger than tuning.ResponseBufferMax, the request's goroutine waits until the
// server reaches the request and writes the response through the server's writer.
type pipelinedRequest struct {
	number  int // position on the connection; the first request is 1
	request *http.Request
	header  http.Header
	status  int                      // 0 until WriteHeader is called
	body    []byte                   // buffered part of the response's body
	writers chan http.ResponseWriter // passes the server's writer once the server has reached the request
	writer  http.ResponseWriter      // the server's writer; nil while the response is buffered

	// done is closed when the request's goroutine has ended. The fields below are final from then on.
	done     chan struct{}
	panicked any  // the value that the goroutine panicked with, nil if it did not panic
	deferred bool // nothing was sent, because the request may run only once; it is served when its turn comes
}

// run serves the request on its own goroutine. It ends when the request has been served or soon after the caller's
// connection has been closed.
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

// WriteHeader sets the response's status. Only the first call has an effect.
func (p *pipelinedRequest) WriteHeader(status int) {
	if p.status == 0 {
		p.status = status
	}
}

// Write buffers a part of the body. If the body becomes too large for the buffer, Write waits for the server's writer
// and writes to that.
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

// awaitWriter waits until the server has reached the request and writes the buffered response to the server's writer.
func (p *pipelinedRequest) awaitWriter() error {
	select {
	case w := <-p.writers:
		return p.writeTo(w)
	case <-p.request.Context().Done():
		return p.request.Context().Err()
	}
}

// Flush flushes the server's writer, if the response is written to that.
func (p *pipelinedRequest) Flush() {
	if p.writer != nil {
		http.NewResponseController(p.writer).Flush()
	}
}

// writeTo writes the header and the buffered body to the server's writer, to which later writes go directly.
func (p *pipelinedRequest) writeTo(w http.ResponseWriter) error {
	p.writer = w
	maps.Copy(w.Header(), p.header)
	p.header = w.Header()
	w.WriteHeader(p.status)
	buffered := p.body
	p.body = nil
	if len(buffered) == 0 {
		return nil
	}
	_, err := w.Write(buffered)
	return err
}

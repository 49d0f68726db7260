// This file implements the callers of a soak. Each keeps one connection open, leaves it idle for up to callerPauseMax between
// requests and uses it until the proxy closes it, whether or not the proxy is ready.

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/verification/testbackend"
)

const (
	requestDeadline      = 3 * time.Second        // deadline that callers send with each request
	callerPauseMax       = 4 * time.Second        // longest pause between two requests on a connection
	readyPollInterval    = 300 * time.Millisecond // interval between two queries of which proxies are ready
	pipelinedRequestsMax = 3                      // most requests that a pipelining caller sends at once
)

// requestKind is a kind of request.
type requestKind struct {
	method, path, service string
	once                  bool          // it must not run more than once
	body                  int           // bytes
	timeout               time.Duration // of its route in the sample configuration
}

var requestKinds = []requestKind{
	{http.MethodGet, "/records/history/day", "records", false, 0, 4 * time.Second},
	{http.MethodPost, "/records/alarms/ack", "records", true, 400, 4 * time.Second},
	{http.MethodPost, "/records/certificates", "records", true, 30000, 4 * time.Second},
	{http.MethodGet, "/monitoring/probes", "monitoring", false, 0, 2 * time.Second},
}

// requestOutcome is the outcome of one request.
type requestOutcome struct {
	id         string
	kind       *requestKind
	proxy      string    // name
	pipelined  bool      // sent on its connection before an earlier request was answered
	sentAt     time.Time // when its last byte was written
	finishedAt time.Time
	status     int           // 0: there was no complete response
	notWritten bool          // it was not written completely
	mismatch   string        // why the response does not belong to the request; "": it does
	notRun     bool          // the response says that it did not run
	mayHaveRun bool          // the proxy responded that it may have run
	retryAfter time.Duration // from the header Retry-After, at most callerPauseMax
}

// soakCallers holds the callers of a run.
type soakCallers struct {
	soak     *soak
	ready    atomic.Pointer[[]*process] // proxies that are ready, or all if none is
	stop     chan struct{}              // closed at the end of the run
	running  sync.WaitGroup
	outcomes chan []requestOutcome
}

// startCallers starts the callers.
func (s *soak) startCallers() *soakCallers {
	c := &soakCallers{soak: s, stop: make(chan struct{}), outcomes: make(chan []requestOutcome, s.options.callers+s.options.readers)}
	c.refreshReady()
	c.running.Go(c.pollReady)
	for i := range s.options.callers {
		c.running.Go(func() { c.outcomes <- c.runCaller(i, s.options.random(firstCallerPart+uint64(i))) })
	}
	for i := range s.options.readers {
		c.running.Go(func() { c.outcomes <- c.runReader(i, s.options.random(firstReaderPart+uint64(i))) })
	}
	for i := range s.options.stalled {
		c.running.Go(func() { c.runStalledCaller(i, s.options.random(firstStalledPart+uint64(i))) })
	}
	return c
}

// finish stops the callers and returns the outcomes of their requests.
func (c *soakCallers) finish() []requestOutcome {
	close(c.stop)
	c.running.Wait()
	close(c.outcomes)
	var all []requestOutcome
	for outcomes := range c.outcomes {
		all = append(all, outcomes...)
	}
	return all
}

// pollReady keeps the list of ready proxies current, like the platform's load balancer.
func (c *soakCallers) pollReady() {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
			c.refreshReady()
		}
	}
}

// refreshReady asks all proxies whether they are ready and stores the list.
func (c *soakCallers) refreshReady() {
	ready := make([]*process, len(c.soak.proxies))
	var asked sync.WaitGroup
	for i, proxy := range c.soak.proxies {
		asked.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), readyPollInterval)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+proxy.http+"/ready", nil)
			if err != nil {
				return
			}
			response, err := client.Do(request)
			if err != nil {
				return
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready[i] = proxy
			}
		})
	}
	asked.Wait()
	ready = slices.DeleteFunc(ready, func(p *process) bool { return p == nil })
	if len(ready) == 0 {
		ready = c.soak.proxies
	}
	c.ready.Store(&ready)
}

// runCaller runs one caller. Every fourth one always uses the same proxy, ready or not; every fifth pipelines requests.
func (c *soakCallers) runCaller(number int, rnd *rand.Rand) (outcomes []requestOutcome) {
	keepsProxy := number%4 == 0
	pipelines := number%5 == 0
	c.useConnections(strconv.Itoa(number), keepsProxy, rnd, net.Dialer{}, func(connection *callerConnection) {
		connection.pipelines = pipelines
		outcomes = append(outcomes, connection.run()...)
	})
	return outcomes
}

// useConnections opens connections one after the other until the run ends, and passes each to use. name distinguishes the
// callers' requests. A caller that keepsProxy always uses the same proxy, any other one a proxy that is ready.
func (c *soakCallers) useConnections(name string, keepsProxy bool, rnd *rand.Rand, dialer net.Dialer, use func(*callerConnection)) {
	dialer.Timeout = time.Second
	assigned := c.soak.proxies[rnd.IntN(len(c.soak.proxies))]
	for round := 0; !c.isStopped(); round++ {
		to := assigned
		if ready := *c.ready.Load(); !keepsProxy {
			to = ready[rnd.IntN(len(ready))]
		}
		conn, err := dialer.Dial("tcp", to.listen)
		if err != nil {
			c.sleep(time.Duration(20+rnd.IntN(80)) * time.Millisecond)
			continue
		}
		use(&callerConnection{callers: c, conn: conn, reader: bufio.NewReader(conn), proxy: to.name, random: rnd,
			prefix: fmt.Sprintf("%d-%s-%d", c.soak.options.seed, name, round)})
		conn.Close()
		c.sleep(time.Duration(rnd.IntN(50)) * time.Millisecond)
	}
}

// isStopped reports whether the run has ended.
func (c *soakCallers) isStopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// sleep waits for a time, or until the run ends.
func (c *soakCallers) sleep(d time.Duration) {
	select {
	case <-c.stop:
	case <-time.After(d):
	}
}

// callerConnection is a caller's connection to a proxy.
type callerConnection struct {
	callers   *soakCallers
	conn      net.Conn
	reader    *bufio.Reader
	proxy     string
	random    *rand.Rand
	pipelines bool
	prefix    string // of its requests' IDs
	sent      int    // number of requests
}

// run sends requests until the connection is closed or the run ends.
func (c *callerConnection) run() (outcomes []requestOutcome) {
	for !c.callers.isStopped() {
		batch, open := c.roundTrip()
		outcomes = append(outcomes, batch...)
		if !open {
			return outcomes
		}
		c.callers.sleep(batch[len(batch)-1].retryAfter)
		if c.random.IntN(3) > 0 { // a third of the requests follow without a pause
			c.callers.sleep(time.Duration(c.random.Int64N(int64(callerPauseMax))))
		}
	}
	return outcomes
}

// roundTrip sends one request, or several pipelined ones, and reads the responses; open is false if the connection has
// ended.
func (c *callerConnection) roundTrip() (batch []requestOutcome, open bool) {
	requests := 1
	if c.pipelines {
		requests += c.random.IntN(pipelinedRequestsMax)
	}
	var text []byte
	for i := range requests {
		kind := &requestKinds[c.random.IntN(len(requestKinds))]
		if requests > 1 {
			kind = &requestKinds[0]
		}
		id := c.nextID()
		batch = append(batch, requestOutcome{id: id, kind: kind, proxy: c.proxy, pipelined: i > 0})
		text = append(text, c.buildRequest(kind, id, time.Duration(20+c.random.IntN(1000))*time.Millisecond, 0)...)
	}
	c.setDeadline()
	_, err := c.conn.Write(text)
	sent := time.Now()
	for i := range batch {
		batch[i].sentAt, batch[i].notWritten = sent, err != nil
	}
	open = err == nil
	for i := range batch {
		if open {
			open = c.readResponse(&batch[i])
		}
		if batch[i].status == 0 {
			batch[i].finishedAt = time.Now()
		}
	}
	return batch, open
}

// nextID returns the id of the next request.
func (c *callerConnection) nextID() string {
	id := fmt.Sprintf("%s-%d", c.prefix, c.sent)
	c.sent++
	return id
}

// setDeadline sets the deadline of the connection's next reads and writes, which no proxy should let pass.
func (c *callerConnection) setDeadline() {
	c.conn.SetDeadline(time.Now().Add(2 * c.callers.soak.options.grace))
}

// buildRequest returns the bytes of a request with the given processing time and size of its response's padding in bytes.
func (c *callerConnection) buildRequest(kind *requestKind, id string, processing time.Duration, padding int) []byte {
	names := reverseproxy.DefaultHeaders()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: soak\r\nExchange-Id: %s\r\nExchange-Service: %s\r\n%s: %s\r\n%s: %d\r\n",
		kind.method, kind.path, id, kind.service, names.Attempt, id, names.Deadline, requestDeadline.Milliseconds())
	fmt.Fprintf(&b, "%s: %d\r\n%s: %d\r\n", testbackend.ProcessingTimeHeader, processing.Milliseconds(), testbackend.PaddingHeader, padding)
	if kind.body > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", kind.body)
	}
	b.WriteString("\r\n")
	b.Write(bytes.Repeat([]byte{'b'}, kind.body))
	return b.Bytes()
}

// readResponse reads one response; it returns false if the connection ends with the response or before it is complete.
func (c *callerConnection) readResponse(outcome *requestOutcome) bool {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: outcome.kind.method})
	if err != nil {
		return false
	}
	defer response.Body.Close()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return false
	}
	outcome.finishedAt, outcome.status = time.Now(), response.StatusCode
	names := reverseproxy.DefaultHeaders()
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		outcome.retryAfter = min(callerPauseMax, time.Duration(seconds*float64(time.Second)))
	}
	ran := response.Header.Get(names.Ran)
	outcome.notRun, outcome.mayHaveRun = ran == "no", ran == "unknown"
	if id := response.Header.Get(names.Attempt); id != "" && id != outcome.id {
		outcome.mismatch = "the response belongs to attempt " + strconv.Quote(id)
	}
	return !response.Close
}

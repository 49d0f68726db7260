// This file is a soak's callers. Each keeps one connection, rests on it for up to seconds between requests, and uses
// it until the other side closes it, whether proxies are ready or not.

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
)

const (
	soakDeadline   = 3 * time.Second        // that callers give
	soakRestMost   = 4 * time.Second        // between two requests of a connection
	soakReadyEvery = 300 * time.Millisecond // how often callers hear which proxies are ready
	soakPipeline   = 3                      // requests at once of a caller that pipelines
)

// soakKind is a sort of request.
type soakKind struct {
	method, path, service string
	once                  bool
	body                  int
	timeout               time.Duration // of its route in the sample configuration
}

var soakKinds = []soakKind{
	{http.MethodGet, "/records/history/day", "records", false, 0, 4 * time.Second},
	{http.MethodPost, "/records/alarms/ack", "records", true, 400, 4 * time.Second},
	{http.MethodPost, "/records/certificates", "records", true, 30000, 4 * time.Second},
	{http.MethodGet, "/monitoring/probes", "monitoring", false, 0, 2 * time.Second},
}

// soakOutcome is what became of one request.
type soakOutcome struct {
	id         string
	kind       *soakKind
	proxy      string
	pipelined  bool      // it was sent behind another on its connection
	sentAt     time.Time // when its last byte was written
	finishedAt time.Time
	status     int           // 0: there was no complete response
	notWritten bool          // it was not written completely
	wrong      string        // what is wrong with the answer
	notRun     bool          // it was answered that it did not run
	unknownRun bool          // it was answered that it may have run, by the proxy
	retryAfter time.Duration // when to come back, as a refusal says
}

// soakCallers are all callers of a run.
type soakCallers struct {
	soak     *soak
	ready    atomic.Pointer[[]*process]
	stop     chan struct{}
	running  sync.WaitGroup
	outcomes chan []soakOutcome
}

// startCallers lets the callers begin.
func (s *soak) startCallers() *soakCallers {
	c := &soakCallers{soak: s, stop: make(chan struct{}), outcomes: make(chan []soakOutcome, s.options.callers)}
	c.refreshReady()
	c.running.Go(c.watch)
	for i := range s.options.callers {
		c.running.Go(func() { c.outcomes <- c.call(i, s.options.random(1000+uint64(i))) })
	}
	return c
}

// finish has the callers end and returns what became of their requests.
func (c *soakCallers) finish() []soakOutcome {
	close(c.stop)
	c.running.Wait()
	close(c.outcomes)
	var all []soakOutcome
	for outcomes := range c.outcomes {
		all = append(all, outcomes...)
	}
	return all
}

// watch keeps the list of proxies that are ready, as the platform would.
func (c *soakCallers) watch() {
	look := time.NewTicker(soakReadyEvery)
	defer look.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-look.C:
			c.refreshReady()
		}
	}
}

func (c *soakCallers) refreshReady() {
	ready := make([]*process, len(c.soak.proxies))
	var asked sync.WaitGroup
	for i, g := range c.soak.proxies {
		asked.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), soakReadyEvery)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.http+"/ready", nil)
			if err != nil {
				return
			}
			response, err := client.Do(request)
			if err != nil {
				return
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready[i] = g
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

// call is one caller: it opens connections until the run ends, and uses each until it is closed. A part of the
// callers stays with one proxy, ready or not; a part pipelines.
func (c *soakCallers) call(number int, rnd *rand.Rand) []soakOutcome {
	var outcomes []soakOutcome
	loyal := number%4 == 0
	pipelines := number%5 == 0
	home := c.soak.proxies[rnd.IntN(len(c.soak.proxies))]
	for round := 0; !c.isStopped(); round++ {
		to := home
		if ready := *c.ready.Load(); !loyal {
			to = ready[rnd.IntN(len(ready))]
		}
		conn, err := net.DialTimeout("tcp", to.listen, time.Second)
		if err != nil {
			c.rest(time.Duration(20+rnd.IntN(80)) * time.Millisecond)
			continue
		}
		k := &soakConnection{callers: c, conn: conn, reader: bufio.NewReader(conn), proxy: to.name, random: rnd, pipelines: pipelines,
			prefix: fmt.Sprintf("%d-%d-%d", c.soak.options.seed, number, round)}
		outcomes = append(outcomes, k.use()...)
		conn.Close()
		c.rest(time.Duration(rnd.IntN(50)) * time.Millisecond)
	}
	return outcomes
}

func (c *soakCallers) isStopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// rest waits, unless the run ends before.
func (c *soakCallers) rest(d time.Duration) {
	select {
	case <-c.stop:
	case <-time.After(d):
	}
}

// soakConnection is a caller's connection.
type soakConnection struct {
	callers   *soakCallers
	conn      net.Conn
	reader    *bufio.Reader
	proxy     string
	random    *rand.Rand
	pipelines bool
	prefix    string
	sent      int
}

// use sends requests until the connection is closed or the run ends.
func (k *soakConnection) use() (outcomes []soakOutcome) {
	for !k.callers.isStopped() {
		batch, open := k.roundTrip()
		outcomes = append(outcomes, batch...)
		if !open {
			return outcomes
		}
		k.callers.rest(batch[len(batch)-1].retryAfter)
		if k.random.IntN(3) > 0 { // others send on at once
			k.callers.rest(time.Duration(k.random.Int64N(int64(soakRestMost))))
		}
	}
	return outcomes
}

// roundTrip sends one request, or some that are pipelined, and reads the answers; open is false if the
// connection has ended.
func (k *soakConnection) roundTrip() (batch []soakOutcome, open bool) {
	requests := 1
	if k.pipelines {
		requests += k.random.IntN(soakPipeline)
	}
	var text []byte
	for i := range requests {
		kind := &soakKinds[k.random.IntN(len(soakKinds))]
		if requests > 1 {
			kind = &soakKinds[0]
		}
		id := fmt.Sprintf("%s-%d", k.prefix, k.sent)
		k.sent++
		batch = append(batch, soakOutcome{id: id, kind: kind, proxy: k.proxy, pipelined: i > 0})
		text = append(text, k.compose(kind, id)...)
	}
	k.conn.SetDeadline(time.Now().Add(2 * k.callers.soak.options.grace))
	_, err := k.conn.Write(text)
	sent := time.Now()
	for i := range batch {
		batch[i].sentAt, batch[i].notWritten = sent, err != nil
	}
	open = err == nil
	for i := range batch {
		if open {
			open = k.read(&batch[i])
		}
		if batch[i].status == 0 {
			batch[i].finishedAt = time.Now()
		}
	}
	return batch, open
}

func (k *soakConnection) compose(kind *soakKind, id string) []byte {
	names := reverseproxy.DefaultHeaders()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: soak\r\nExchange-Id: %s\r\nExchange-Service: %s\r\n%s: %s\r\n%s: %d\r\n",
		kind.method, kind.path, id, kind.service, names.Attempt, id, names.Deadline, soakDeadline.Milliseconds())
	fmt.Fprintf(&b, "Stub-Work-Ms: %d\r\n", 20+k.random.IntN(1000))
	if kind.body > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", kind.body)
	}
	b.WriteString("\r\n")
	b.Write(bytes.Repeat([]byte{'b'}, kind.body))
	return b.Bytes()
}

// read reads one answer; it returns false if the connection ends with it or instead of it.
func (k *soakConnection) read(outcome *soakOutcome) bool {
	response, err := http.ReadResponse(k.reader, &http.Request{Method: outcome.kind.method})
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
		outcome.retryAfter = min(soakRestMost, time.Duration(seconds*float64(time.Second)))
	}
	ran := response.Header.Get(names.Ran)
	outcome.notRun, outcome.unknownRun = ran == "no", ran == "unknown"
	if id := response.Header.Get(names.Attempt); id != "" && id != outcome.id {
		outcome.wrong = "the answer is to " + strconv.Quote(id)
	}
	return !response.Close
}

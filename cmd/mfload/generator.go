package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	maxRetries      = 5    // maximum number of retries that a client of clientsWithRetries sends after its first request
	outcomeQueue    = 4096 // capacity of generator.outcomes
	requestTimeout  = 15 * time.Second
	idleConnTimeout = 10 * time.Second
	maxIdleConns    = 256                  // maximum number of idle connections to one proxy
	drainPoll       = 5 * time.Millisecond // interval of checks for requests in flight at the end of a run
)

// generator sends the requests of a run.
type generator struct {
	options
	client   *http.Client
	proxies  *proxyList
	idPrefix string       // common prefix of all request ids of this run
	outcomes chan outcome // closed after the last request has completed
	inFlight atomic.Int64 // requests without an outcome
	until    time.Time    // end of the run; no retries are sent after it
}

func newGenerator(opts options) *generator {
	client := &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Timeout:       requestTimeout,
	}
	return &generator{
		options:  opts,
		client:   client,
		proxies:  &proxyList{addresses: opts.proxies, client: client},
		idPrefix: fmt.Sprintf("%x-", time.Now().UnixNano()),
		outcomes: make(chan outcome, outcomeQueue),
	}
}

// plannedRequest is a request that is scheduled to be sent.
type plannedRequest struct {
	kind          *requestKind
	id            string    // unique; sent in testbackend.RequestIDHeader
	due           time.Time // scheduled start, from which latency is measured
	retriesAtOnce bool      // its client retries immediately after an error response of a proxy
	random        uint64    // selects the proxy and the request body
	retry         int       // number of retries before this request; 0: first attempt
}

// run sends requests as a Poisson process, with kinds drawn from the mix, and closes g.outcomes after the last request
// has completed.
func (g *generator) run(mix []requestKind) {
	random := rand.New(rand.NewPCG(g.seed, 1))
	start := time.Now()
	g.until = start.Add(g.duration)
	due := start
	for n := 0; ; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / g.rate))
		if due.Sub(start) > g.duration {
			break
		}
		time.Sleep(time.Until(due))
		kind := drawKind(mix, random)
		g.start(plannedRequest{
			kind:          kind,
			id:            fmt.Sprintf("%s%d", g.idPrefix, n),
			due:           due,
			retriesAtOnce: random.Float64() < kind.RetryingFraction,
			random:        random.Uint64(),
		})
	}
	for g.inFlight.Load() > 0 {
		time.Sleep(drainPoll)
	}
	close(g.outcomes)
}

// start sends a request in a new goroutine. If too many requests are in flight, it reports the request as unanswered
// instead.
func (g *generator) start(planned plannedRequest) {
	if g.inFlight.Load() >= g.maxInFlight {
		unsent := plannedRequest{kind: planned.kind, id: planned.id, due: planned.due} // retriesAtOnce is not set: it counts for clientsWithoutRetries
		g.outcomes <- outcome{plannedRequest: unsent, err: "too many requests in flight"}
		return
	}
	g.inFlight.Add(1)
	go func() {
		defer g.inFlight.Add(-1)
		done := g.send(planned)
		g.outcomes <- done
		if planned.retriesAtOnce && done.isProxyError() && planned.retry < maxRetries && time.Now().Before(g.until) {
			g.start(planned.nextRetry())
		}
	}()
}

// nextRetry returns the retry that a client of clientsWithRetries sends after an error response of a proxy. It is a new
// request with its own id.
func (p plannedRequest) nextRetry() plannedRequest {
	p.id = fmt.Sprintf("%s.%d", p.id, p.retry+1)
	p.due = time.Now()
	p.random = p.random*7919 + 1
	p.retry++
	return p
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	retriesMax      = 5 // of an impatient client
	outcomeQueue    = 4096
	requestTimeout  = 15 * time.Second
	idleConnTimeout = 10 * time.Second
	idleConnsMax    = 256                  // to one proxy
	drainPoll       = 5 * time.Millisecond // between two looks whether requests are still open, at the end
)

// generator starts the requests of a run.
type generator struct {
	options
	client   *http.Client
	proxies  *proxyList
	idPrefix string       // of all ids of this run
	outcomes chan outcome // closed when the last request is done
	open     atomic.Int64 // requests without an outcome
	until    time.Time    // no retries after it
}

func newGenerator(opts options) *generator {
	client := &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: idleConnsMax, IdleConnTimeout: idleConnTimeout},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Timeout:       requestTimeout,
	}
	return &generator{
		options:  opts,
		client:   client,
		proxies:  &proxyList{named: opts.proxies, client: client},
		idPrefix: fmt.Sprintf("%x-", time.Now().UnixNano()),
		outcomes: make(chan outcome, outcomeQueue),
	}
}

// plannedRequest is a request that is due.
type plannedRequest struct {
	kind      *requestKind
	id        string
	due       time.Time
	impatient bool   // its client retries at once
	random    uint64 // chooses its proxy and its body
	retry     int    // how often the client has retried before
}

// run starts requests at random intervals, each drawn from the mix, and closes outcomes when the last one is done.
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
		kind := draw(mix, random)
		g.start(plannedRequest{
			kind:      kind,
			id:        fmt.Sprintf("%s%d", g.idPrefix, n),
			due:       due,
			impatient: random.Float64() < kind.Impatient,
			random:    random.Uint64(),
		})
	}
	for g.open.Load() > 0 {
		time.Sleep(drainPoll)
	}
	close(g.outcomes)
}

// start begins one request, unless there are too many.
func (g *generator) start(planned plannedRequest) {
	if g.open.Load() >= g.openMax {
		unsent := plannedRequest{kind: planned.kind, id: planned.id, due: planned.due} // its client counts as a patient one
		g.outcomes <- outcome{plannedRequest: unsent, err: "too many open"}
		return
	}
	g.open.Add(1)
	go func() {
		defer g.open.Add(-1)
		done := g.send(planned)
		g.outcomes <- done
		if planned.impatient && done.rejected() && planned.retry < retriesMax && time.Now().Before(g.until) {
			g.start(planned.next())
		}
	}()
}

// next is a retry of a client that was rejected, which is a new request.
func (p plannedRequest) next() plannedRequest {
	p.id = fmt.Sprintf("%s.%d", p.id, p.retry+1)
	p.due = time.Now()
	p.random = p.random*7919 + 1
	p.retry++
	return p
}

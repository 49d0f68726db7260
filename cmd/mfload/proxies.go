package main

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

const (
	readinessEvery   = 300 * time.Millisecond // between two looks at all proxies
	readinessTimeout = 250 * time.Millisecond // of a look at one
)

// proxyList is the proxies that callers may use, kept as a deployment's load balancer would.
type proxyList struct {
	named  []string // as the command line names them: ADDR, or ADDR=HTTP
	ready  atomic.Pointer[[]string]
	client *http.Client
}

// run refreshes the list until the context ends.
func (p *proxyList) run(ctx context.Context) {
	ticker := time.NewTicker(readinessEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.refresh(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// pick chooses one of the ready proxies by a random number.
func (p *proxyList) pick(random uint64) string {
	ready := *p.ready.Load()
	return ready[random%uint64(len(ready))]
}

// proxyReadiness is whether a proxy takes callers.
type proxyReadiness struct {
	addr  string
	ready bool
}

// refresh asks all proxies at once whether they are ready. If none is, callers use them all.
func (p *proxyList) refresh(ctx context.Context) {
	answers := make(chan proxyReadiness, len(p.named))
	for _, name := range p.named {
		go func() { answers <- p.ask(ctx, name) }()
	}
	var ready, all []string
	for range p.named {
		answer := <-answers
		all = append(all, answer.addr)
		if answer.ready {
			ready = append(ready, answer.addr)
		}
	}
	if len(ready) == 0 {
		ready = all
	}
	slices.Sort(ready)
	p.ready.Store(&ready)
}

// ask asks one proxy; one without an HTTP address counts as ready.
func (p *proxyList) ask(ctx context.Context, name string) proxyReadiness {
	addr, admin, asked := strings.Cut(name, "=")
	if !asked {
		return proxyReadiness{addr, true}
	}
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/ready", nil)
	if err != nil {
		return proxyReadiness{addr, false}
	}
	response, err := p.client.Do(request)
	if err != nil {
		return proxyReadiness{addr, false}
	}
	response.Body.Close()
	return proxyReadiness{addr, response.StatusCode == http.StatusOK}
}

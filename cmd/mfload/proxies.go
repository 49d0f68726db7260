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
	readinessInterval = 300 * time.Millisecond // between two readiness checks of all proxies
	readinessTimeout  = 250 * time.Millisecond // of the readiness check of one proxy
)

// proxyList tracks which proxies are ready for callers, as the load balancer of a deployment would.
type proxyList struct {
	addresses []string                 // from the command line, each ADDR or ADDR=HTTP
	ready     atomic.Pointer[[]string] // sorted addresses of the ready proxies
	client    *http.Client
}

// run refreshes the list periodically until the context is canceled.
func (p *proxyList) run(ctx context.Context) {
	ticker := time.NewTicker(readinessInterval)
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

// pick selects one of the ready proxies by a random number.
func (p *proxyList) pick(random uint64) string {
	ready := *p.ready.Load()
	return ready[random%uint64(len(ready))]
}

// proxyReadiness is the result of a proxy's readiness check.
type proxyReadiness struct {
	addr  string // address for callers
	ready bool
}

// refresh checks the readiness of all proxies concurrently. If none is ready, all are used.
func (p *proxyList) refresh(ctx context.Context) {
	results := make(chan proxyReadiness, len(p.addresses))
	for _, address := range p.addresses {
		go func() { results <- p.checkReadiness(ctx, address) }()
	}
	var ready, all []string
	for range p.addresses {
		result := <-results
		all = append(all, result.addr)
		if result.ready {
			ready = append(ready, result.addr)
		}
	}
	if len(ready) == 0 {
		ready = all
	}
	slices.Sort(ready)
	p.ready.Store(&ready)
}

// checkReadiness checks one proxy, given as ADDR=HTTP. A proxy given as ADDR counts as ready.
func (p *proxyList) checkReadiness(ctx context.Context, address string) proxyReadiness {
	addr, httpAddr, found := strings.Cut(address, "=")
	if !found {
		return proxyReadiness{addr, true}
	}
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+httpAddr+"/ready", nil)
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

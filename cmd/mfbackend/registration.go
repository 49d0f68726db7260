// Registration with the daemons: the back end registers by sending heartbeats, and deregisters when it shuts down.

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// minLeaveTime is the minimum time for which a leaving back end continues to serve, so that the proxies learn that it is
// leaving and stop sending requests to it.
const minLeaveTime = 3 * time.Second

// report returns the back end's current report to the daemons.
func (b *backend) report() config.TargetReport {
	demand := float64(b.inFlight.Load()) / float64(b.slots)
	report := config.TargetReport{
		Service:     b.service,
		Name:        b.name,
		Incarnation: b.incarnation,
		Address:     b.addr,
		Domain:      b.domain,
		State:       b.targetState(),
		Demand:      &demand,
	}
	if b.checkPath != "" {
		report.Slots, report.WarmupLeftMs = b.slots, b.warmupLeftMs()
	}
	if b.uniqueName {
		report.Number = b.reportNumber.Add(1)
	}
	return report
}

// sendHeartbeats sends periodic heartbeats, each to the next daemon in turn that accepts it, until the context is
// canceled.
func (b *backend) sendHeartbeats(ctx context.Context) {
	for next := 0; ; next++ {
		if mode := b.fault.Load().mode; mode != faultHang && mode != faultMute {
			for range b.daemons {
				if b.sendHeartbeat(b.daemons[next%len(b.daemons)]) {
					break
				}
				next++
			}
		}
		select {
		case <-time.After(tuning.TargetHeartbeatEvery):
		case <-ctx.Done():
			return
		}
	}
}

// sendHeartbeat sends a heartbeat to a daemon and reports whether it was accepted.
func (b *backend) sendHeartbeat(daemon string) bool {
	method, path := http.MethodPost, "/v1/targets"
	if b.uniqueName {
		method, path = http.MethodPut, "/v1/targets/"+b.name
	}
	body, err := json.Marshal(b.report())
	if err != nil {
		return false
	}
	return b.call(method, "http://"+daemon+path, body) < http.StatusMultipleChoices
}

// statusNoResponse stands for the status of a call without a response. It is above all HTTP statuses.
const statusNoResponse = 1000

// call sends an HTTP request to a daemon and returns the status of the response, or statusNoResponse.
func (b *backend) call(method, url string, body []byte) (status int) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return statusNoResponse
	}
	response, err := b.client.Do(request)
	if err != nil {
		return statusNoResponse
	}
	response.Body.Close()
	return response.StatusCode
}

// leave reports the state leaving to every daemon, continues to serve for minLeaveTime or until all requests have
// completed, whichever is later, and then deregisters.
func (b *backend) leave() {
	if b.state.Swap(wire.TargetLeaving) != wire.TargetLeaving {
		b.leavingSince.Store(time.Now().UnixNano())
	}
	for _, daemon := range b.daemons {
		b.sendHeartbeat(daemon)
	}
	for end := time.Now().Add(minLeaveTime); time.Now().Before(end) || b.inFlight.Load() > 0; {
		time.Sleep(tuning.TickEvery)
	}
	path := fmt.Sprintf("%s/%s?incarnation=%d", b.service, b.name, b.incarnation)
	if b.uniqueName {
		path = b.name
	}
	for _, daemon := range b.daemons {
		b.call(http.MethodDelete, fmt.Sprintf("http://%s/v1/targets/%s", daemon, path), nil)
	}
}

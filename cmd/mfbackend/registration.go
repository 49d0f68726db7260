// This file is the back end towards the daemons: it registers by heartbeats, and signs off when it leaves.

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

// leaveTime is how long a leaving back end serves on at least, so that callers can be notified.
const leaveTime = 3 * time.Second

// report is what the back end says of itself now.
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

// sendHeartbeats sends heartbeats to one daemon after another until the context ends.
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

// unanswered is the status of a call without a response, above all others.
const unanswered = 1000

// call makes a call of a daemon and returns the response's status, or unanswered.
func (b *backend) call(method, url string, body []byte) (status int) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return unanswered
	}
	response, err := b.client.Do(request)
	if err != nil {
		return unanswered
	}
	response.Body.Close()
	return response.StatusCode
}

// leave says so to every daemon, serves on until its requests are done and callers have had time to be notified, and
// then signs off.
func (b *backend) leave() {
	if b.state.Swap(wire.TargetLeaving) != wire.TargetLeaving {
		b.leftAt.Store(time.Now().UnixNano())
	}
	for _, daemon := range b.daemons {
		b.sendHeartbeat(daemon)
	}
	for end := time.Now().Add(leaveTime); time.Now().Before(end) || b.inFlight.Load() > 0; {
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

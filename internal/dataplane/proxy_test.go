package dataplane

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// BenchmarkRequest measures the cost of admitting and ending one request in the state machine, which runs on
// one goroutine, with as many targets as typical fleets have and with ten times as many.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{9, 36, 360} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var targets []wire.Target
			for i := range n {
				targets = append(targets, readyTarget(fmt.Sprintf("t%03d", i)))
			}
			proxy := newTestProxy("g1", 12, `{"services":{"s":{"cap":600}},"rules":[{"path":"/s","service":"s"}]}`, targets...)
			id := uint64(0)
			for b.Loop() {
				id++
				if _, ok := proxy.admit(id).(statemachine.Forward); !ok {
					b.Fatal("request rejected")
				}
				proxy.step(statemachine.AttemptDone{ID: id, Last: true})
			}
		})
	}
}

// BenchmarkRequestWithSlots measures the same as BenchmarkRequest for a request on a route, with targets that
// report their slots.
func BenchmarkRequestWithSlots(b *testing.B) {
	for _, n := range []int{36, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var targets []wire.Target
			for i := range n {
				targets = append(targets, readyTarget(fmt.Sprintf("t%03d", i), withSlots(6)))
			}
			proxy := newTestProxy("g1", 12, routeConfig, targets...)
			id := uint64(0)
			for b.Loop() {
				id++
				if _, ok := proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward); !ok {
					b.Fatal("request rejected")
				}
				proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Milliseconds: 5, Last: true})
			}
		})
	}
}

// BenchmarkTableChange measures a change of one target in the table of a large fleet.
func BenchmarkTableChange(b *testing.B) {
	var targets []wire.Target
	for i := range 294 {
		targets = append(targets, readyTarget(fmt.Sprintf("t%03d", i), withSlots(3)))
	}
	proxy := newTestProxy("g1", 69, routeConfig, targets...)
	b.ReportAllocs()
	for b.Loop() {
		old := proxy.machine.Table()
		proxy.version++
		t := &wire.Table{Key: wire.TableKey{Epoch: 1, Term: 1, Version: proxy.version}, DeltaBase: old.Key, Revision: old.Revision, StateIndex: old.StateIndex,
			Targets: []wire.Target{readyTarget("t007", withSlots(3), func(t *wire.Target) { t.Demand = float64(proxy.version%10) / 10 })}}
		proxy.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: "c1", Epoch: 1, Term: 1, Timestamp: int64(proxy.now), Disk: 9,
			Push: &wire.Push{LeaseGranted: true, Key: t.Key, Table: t}}})
		if proxy.machine.Table().Key != t.Key {
			b.Fatal("table not applied")
		}
	}
}

// Objectives count requests by what their callers got. Requests that are slow, are rejected or lose their response
// miss the objective, and requests whose client disconnected don't count. Counts older than the window are dropped.
func TestObjectiveCounts(t *testing.T) {
	proxy := newTestProxy("g1", 1, `{"services":{"s":{"cap":1,"warm_cap":1}},"rules":[{"path":"/s","service":"s"}],
		"aims":{"quick":{"service":"s","part":0.9,"under_ms":50,"window_min":2}}}`, readyTarget("a"))
	id := uint64(0)
	run := func(duration time.Duration, events ...statemachine.Event) {
		id++
		proxy.admit(id)
		proxy.now += duration
		proxy.machine.leaseUntil = proxy.now + time.Second
		for _, event := range events {
			proxy.step(event)
		}
	}
	for range 5 {
		run(10*time.Millisecond, statemachine.AttemptDone{ID: id + 1, Outcome: statemachine.Served, Last: true})
	}
	run(60*time.Millisecond, statemachine.AttemptDone{ID: id + 1, Outcome: statemachine.Served, Last: true})
	run(time.Millisecond, statemachine.AttemptDone{ID: id + 1, Outcome: statemachine.ServerError, Last: true})
	run(time.Millisecond, statemachine.AttemptDone{ID: id + 1, Outcome: statemachine.ResponseLost}, statemachine.Cancel{ID: id + 1, Failed: true})
	run(time.Millisecond, statemachine.Cancel{ID: id + 1})
	proxy.admit(90)
	proxy.admit(91) // rejected: the only slot is in use
	proxy.step(statemachine.AttemptDone{ID: 90, Outcome: statemachine.ClientGone, Last: true})
	if o := proxy.machine.View(proxy.now).Objectives[0]; o.Good != 5 || o.Total != 9 {
		t.Fatalf("got %+v, want 5 good requests of 9", o)
	}
	if o := proxy.machine.View(proxy.now + 2*time.Minute).Objectives[0]; o.Total != 0 {
		t.Fatalf("got %+v after the window, want no requests", o)
	}
}

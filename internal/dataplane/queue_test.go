package dataplane

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// The queue is first come, first served, and ends at its bounds with a rejection. A request whose client left never
// runs.
func TestQueueIsServedInOrderAndBounded(t *testing.T) {
	proxy := newTestProxy("g1", 1, `{"services":{"s":{"cap":1,"warm_cap":1,"wait_ms":200,"wait_len":3}},"rules":[{"path":"/s","service":"s"}]}`, readyTarget("a"))
	if _, ok := proxy.admit(1).(statemachine.Forward); !ok {
		t.Fatal("rejected")
	}
	for id := uint64(2); id <= 4; id++ {
		if x := proxy.admit(id); x != nil {
			t.Fatalf("%d: %+v", id, x)
		}
	}
	if reject, ok := proxy.admit(5).(statemachine.Reject); !ok || reject.Code != "busy" || reject.RetryAfter < tuning.RetryAfterMin || reject.RetryAfter >= tuning.RetryAfterMin+tuning.RetryAfterSpan {
		t.Fatalf("%+v", reject)
	}
	proxy.step(statemachine.Cancel{ID: 2})
	out := proxy.step(statemachine.AttemptDone{ID: 1, Outcome: statemachine.Served, Last: true})
	if _, ok := responseTo(3, out).(statemachine.Forward); !ok || responseTo(2, out) != nil {
		t.Fatalf("%+v", out)
	}
	proxy.now += 201 * time.Millisecond
	proxy.machine.leaseUntil = proxy.now + time.Second
	if reject, ok := responseTo(4, proxy.step(statemachine.Tick{})).(statemachine.Reject); !ok || reject.Status != 503 {
		t.Fatalf("%+v", reject)
	}
	if out := proxy.step(statemachine.AttemptDone{ID: 3, Outcome: statemachine.Served, Last: true}); responseTo(4, out) != nil || proxy.machine.InFlight() != 0 {
		t.Fatalf("%+v, %d in flight", out, proxy.machine.InFlight())
	}
}

// No request waits behind one of lower priority or one that came later, none is forwarded twice, and each gets one
// final response.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(2)))
		priority := map[uint64]int{}
		at, waits := map[uint64]bool{}, []uint64{}
		see := func(commands []statemachine.Command) {
			for _, c := range commands {
				switch c := c.(type) {
				case statemachine.Forward:
					for _, w := range waits {
						if priority[w] < priority[c.ID] || priority[w] == priority[c.ID] && w < c.ID {
							t.Fatalf("%d of priority %d before %d of priority %d", c.ID, priority[c.ID], w, priority[w])
						}
						if w == c.ID {
							break
						}
					}
					if at[c.ID] {
						t.Fatal("forwarded twice")
					}
					at[c.ID] = true
					waits = without(waits, c.ID)
				case statemachine.Reject:
					waits = without(waits, c.ID)
				}
			}
		}
		for id := uint64(1); id < 80; id++ {
			see(proxy.advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond))
			path := rapid.SampledFrom([]string{"/a/", "/low/", "/once/"}).Draw(t, "path")
			priority[id] = map[string]int{"/a/": 1, "/low/": 3, "/once/": 0}[path]
			out := proxy.step(statemachine.Admit{ID: id, Host: "h", Path: path, Timeout: time.Second})
			if responseTo(id, out) == nil {
				waits = append(waits, id)
			}
			see(out)
			for d := range at {
				if rapid.Bool().Draw(t, "done") {
					delete(at, d)
					see(proxy.step(statemachine.AttemptDone{ID: d, Outcome: statemachine.Served, Milliseconds: 20, Last: true}))
				}
				break
			}
			for _, w := range append([]uint64{}, waits...) {
				if x := proxy.machine.requests[w]; x == nil || !x.queued {
					waits = without(waits, w)
				}
			}
		}
	})
}

func without(l []uint64, id uint64) (out []uint64) {
	for _, x := range l {
		if x != id {
			out = append(out, x)
		}
	}
	return out
}

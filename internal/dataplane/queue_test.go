package dataplane

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// The queue is served in order of arrival. Requests beyond its length or its timeout are rejected, and a
// request whose client disconnected is never forwarded.
func TestQueueIsServedInOrderAndBounded(t *testing.T) {
	proxy := newTestProxy("g1", 1, `{"services":{"s":{"cap":1,"warm_cap":1,"wait_ms":200,"wait_len":3}},"rules":[{"path":"/s","service":"s"}]}`, readyTarget("a"))
	if _, ok := proxy.admit(1).(statemachine.Forward); !ok {
		t.Fatal("first request rejected")
	}
	for id := uint64(2); id <= 4; id++ {
		if response := proxy.admit(id); response != nil {
			t.Fatalf("request %d: got %+v, want it to be queued", id, response)
		}
	}
	if reject, ok := proxy.admit(5).(statemachine.Reject); !ok || reject.Code != "busy" || reject.RetryAfter < tuning.RetryAfterMin || reject.RetryAfter >= tuning.RetryAfterMin+tuning.RetryAfterSpan {
		t.Fatalf("got %+v with a full queue, want a rejection with code busy and a retry time", reject)
	}
	proxy.step(statemachine.Cancel{ID: 2})
	commands := proxy.step(statemachine.AttemptDone{ID: 1, Outcome: statemachine.Served, Last: true})
	if _, ok := responseTo(3, commands).(statemachine.Forward); !ok || responseTo(2, commands) != nil {
		t.Fatalf("got %+v, want request 3 to be forwarded and nothing for the canceled request 2", commands)
	}
	proxy.now += 201 * time.Millisecond
	proxy.machine.leaseUntil = proxy.now + time.Second
	if reject, ok := responseTo(4, proxy.step(statemachine.Tick{})).(statemachine.Reject); !ok || reject.Status != 503 {
		t.Fatalf("got %+v after the queue timeout, want a rejection with status 503", reject)
	}
	if commands := proxy.step(statemachine.AttemptDone{ID: 3, Outcome: statemachine.Served, Last: true}); responseTo(4, commands) != nil || proxy.machine.InFlight() != 0 {
		t.Fatalf("got %+v and %d requests in flight, want nothing for the rejected request 4 and none in flight", commands, proxy.machine.InFlight())
	}
}

// No request is forwarded before a queued one of higher priority, or of the same priority that came earlier. No
// request is forwarded twice.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(2)))
		priority := map[uint64]int{}
		pending, queued := map[uint64]bool{}, []uint64{}
		record := func(commands []statemachine.Command) {
			for _, c := range commands {
				switch c := c.(type) {
				case statemachine.Forward:
					for _, w := range queued {
						if priority[w] < priority[c.ID] || priority[w] == priority[c.ID] && w < c.ID {
							t.Fatalf("request %d of priority %d was forwarded before the queued request %d of priority %d", c.ID, priority[c.ID], w, priority[w])
						}
						if w == c.ID {
							break
						}
					}
					if pending[c.ID] {
						t.Fatalf("request %d was forwarded twice", c.ID)
					}
					pending[c.ID] = true
					queued = without(queued, c.ID)
				case statemachine.Reject:
					queued = without(queued, c.ID)
				}
			}
		}
		for id := uint64(1); id < 80; id++ {
			record(proxy.advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond))
			path := rapid.SampledFrom([]string{"/a/", "/low/", "/once/"}).Draw(t, "path")
			priority[id] = map[string]int{"/a/": 1, "/low/": 3, "/once/": 0}[path]
			commands := proxy.step(statemachine.Admit{ID: id, Host: "h", Path: path, Timeout: time.Second})
			if responseTo(id, commands) == nil {
				queued = append(queued, id)
			}
			record(commands)
			for d := range pending {
				if rapid.Bool().Draw(t, "done") {
					delete(pending, d)
					record(proxy.step(statemachine.AttemptDone{ID: d, Outcome: statemachine.Served, Milliseconds: 20, Last: true}))
				}
				break
			}
			for _, w := range append([]uint64{}, queued...) {
				if req := proxy.machine.requests[w]; req == nil || !req.queued {
					queued = without(queued, w)
				}
			}
		}
	})
}

// without returns the ids except one.
func without(ids []uint64, id uint64) (rest []uint64) {
	for _, other := range ids {
		if other != id {
			rest = append(rest, other)
		}
	}
	return rest
}

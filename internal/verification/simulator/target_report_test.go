package simulator

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// proxiesAvoiding counts the running proxies whose table omits a target or marks it as draining.
func (w *World) proxiesAvoiding(name string) (count int) {
	for _, p := range w.daemons(wire.ProxyDaemon) {
		if p.alive && p.proxy.Table() != nil {
			if entry := tableEntry(p.proxy.Table(), name); entry == nil || entry.Draining {
				count++
			}
		}
	}
	return count
}

// reportJSON returns a numbered report of a target, with an unknown field, which daemons must ignore, and the given
// additional JSON fields, which begin with a comma.
func reportJSON(t *Target, state wire.TargetState, number uint64, fields string) string {
	return fmt.Sprintf(`{"service":%q,"incarnation":%d,"address":%q,"domain":%q,"state":%q,"number":%d,"mood":["any"]%s}`, t.service, t.incarnation, t.address, t.domain, state, number, fields)
}

// Numbered reports of a target: an invalid field is rejected with its path, slots reach the tables, and a report with an
// old number changes nothing.
func TestNumberedReports(t *testing.T) {
	t.Parallel()
	w := Start(21, Small)
	a := w.targets.all[0]
	f := w.followers()[0]
	put := func(p *Process, body string) (int, string) {
		r, m := w.callAndWait(t, p, "PUT", "/v1/targets/"+a.name, "", body, "")
		at := ""
		if e, ok := m["error"].(map[string]any); ok && e["faults"] != nil {
			at, _ = e["faults"].([]any)[0].(map[string]any)["path"].(string)
		}
		return r.Status, at
	}
	for _, c := range []struct{ fields, at string }{
		{`,"slots":-1`, "slots"}, {`,"slots":1000001`, "slots"}, {`,"slots":"x"`, "slots"}, {`,"cold_left_ms":-5`, "cold_left_ms"},
		{`,"cold_left_ms":3600001`, "cold_left_ms"}, {`,"address":"nowhere"`, "address"}, {`,"state":"odd"`, "state"}, {`,"service":"A b"`, "service"},
	} {
		if s, at := put(f, reportJSON(a, wire.TargetReady, 1, c.fields)); s != 422 || at != c.at {
			t.Errorf("report with %s: %d, invalid field %q, want 422 and %q", c.fields, s, at, c.at)
		}
	}
	if !a.numbered {
		t.Fatalf("%s does not number its reports", a.name)
	}
	if e := tableEntry(w.Leader().controller.Table(), a.name); e == nil || e.Slots != DefaultSlots || e.Number == 0 {
		t.Fatalf("table entry of the target, want %d slots and a number: %+v", DefaultSlots, e)
	}
	for _, n := range []uint64{a.lastNumber, 1} {
		if s, _ := put(f, reportJSON(a, wire.TargetLeaving, n, "")); s != 200 {
			t.Errorf("report with the old number %d: %d, want 200", n, s)
		}
	}
	if e := tableEntry(w.Leader().controller.Table(), a.name); e.Draining {
		t.Error("a report with an old number drained the target, want no effect")
	}
	if s, _ := put(f, reportJSON(a, wire.TargetReady, a.lastNumber+100, `,"slots":7`)); s != 202 {
		t.Errorf("report to a follower: %d, want 202", s)
	}
	w.Run(w.now + 300*time.Millisecond)
	if e := tableEntry(w.Leader().controller.Table(), a.name); e.Slots != 7 {
		t.Errorf("table entry after a report of 7 slots, want these slots: %+v", e)
	}
	requireNoFailure(t, w)
}

// A report that a target is leaving, or its deregistration, is acknowledged only once a majority of the proxies has
// received it. A duplicate waits like the first; later ones are acknowledged at once.
func TestDrainIsAcknowledgedOnceAMajorityHasIt(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		w := Start(seed, Small)
		a := w.targets.all[int(seed)%len(w.targets.all)]
		a.withoutHeartbeats = true
		w.Run(w.now + 600*time.Millisecond)
		at := w.Leader()
		if seed%2 == 0 {
			at = w.followers()[0]
		}
		var statuses []int
		send := func(method, path, body string) {
			w.call(at, method, path, "", []byte(body), "", func(r statemachine.Reply) {
				if r.Status == 200 && 2*w.proxiesAvoiding(a.name) <= w.Plan.Proxies {
					t.Errorf("seed %d: %s acknowledged when %d of %d proxies avoid the target", seed, method, w.proxiesAvoiding(a.name), w.Plan.Proxies)
				}
				statuses = append(statuses, r.Status)
			})
		}
		leaving := reportJSON(a, wire.TargetLeaving, 1000, "")
		if seed < 4 {
			send("PUT", "/v1/targets/"+a.name, leaving)
			send("PUT", "/v1/targets/"+a.name, leaving)
		} else {
			send("DELETE", "/v1/targets/"+a.name, "")
			send("DELETE", "/v1/targets/"+a.name, "")
		}
		w.Run(w.now + 900*time.Millisecond)
		if fmt.Sprint(statuses) != "[200 200]" {
			t.Fatalf("seed %d: statuses %v, want [200 200]", seed, statuses)
		}
		if r, _ := w.callAndWait(t, at, "DELETE", "/v1/targets/"+a.name, "", "", ""); r.Status != 200 {
			t.Errorf("seed %d: deregistration after the drain: %d, want 200", seed, r.Status)
		}
		if r, _ := w.callAndWait(t, at, "DELETE", "/v1/targets/never-heard", "", "", ""); r.Status != 200 {
			t.Errorf("seed %d: deregistration of an unknown target: %d, want 200", seed, r.Status)
		}
		if e := tableEntry(w.Leader().controller.Table(), a.name); e != nil {
			t.Errorf("seed %d: the deregistered target is in the table: %+v", seed, e)
		}
		requireNoFailure(t, w)
	}
}

// A majority of proxies is enough: two isolated proxies must not delay the acknowledgement, as their leases expire.
func TestDrainDoesNotWaitForIsolatedProxies(t *testing.T) {
	t.Parallel()
	w := Start(25, Small)
	a := w.targets.all[0]
	a.withoutHeartbeats = true
	w.isolate([]string{"g1", "g2"}, 3*time.Second, true, true)
	from := w.now
	r, _ := w.callAndWait(t, w.followers()[0], "PUT", "/v1/targets/"+a.name, "", reportJSON(a, wire.TargetLeaving, 1000, ""), "")
	if r.Status != 200 || w.now-from > tuning.PullEvery*2 {
		t.Errorf("drain with two isolated proxies: %d after %v, want 200 within %v", r.Status, w.now-from, tuning.PullEvery*2)
	}
	requireNoFailure(t, w)
}

// A drain that can't reach a majority of proxies is rejected soon enough for the caller to try another daemon. Without a
// leader, reports and reads get 503.
func TestDrainWithoutMajorityIsNotAcknowledged(t *testing.T) {
	t.Parallel()
	w := Start(22, Small)
	a := w.targets.all[0]
	a.withoutHeartbeats = true
	for _, n := range []string{"g1", "g2", "g3"} {
		w.Kill(w.process(n))
	}
	for _, at := range []*Process{w.Leader(), w.followers()[0]} {
		from := w.now
		r, m := w.callAndWait(t, at, "PUT", "/v1/targets/"+a.name, "", reportJSON(a, wire.TargetLeaving, 1000, ""), "")
		if r.Status != 503 || r.RetryAfter == 0 || m["error"].(map[string]any)["ran"] != "no" || w.now-from > 920*time.Millisecond {
			t.Errorf("drain without a majority of proxies: %d after %v, want 503 within 920 ms: %s", r.Status, w.now-from, r.Body)
		}
	}
	l := w.Leader()
	for _, p := range w.followers() {
		w.Kill(p)
	}
	w.Run(w.now + 2*time.Second)
	for _, state := range []wire.TargetState{wire.TargetReady, wire.TargetLeaving} {
		if r, _ := w.callAndWait(t, l, "PUT", "/v1/targets/"+a.name, "", reportJSON(a, state, 1001, ""), ""); r.Status != 503 || r.RetryAfter == 0 {
			t.Errorf("report of state %s without a leader: %d, want 503 with Retry-After", state, r.Status)
		}
	}
	if r, _ := w.callAndWait(t, l, "GET", "/v1/config", "", "", ""); r.Status != 503 {
		t.Errorf("read without a leader: %d, want 503", r.Status)
	}
	requireNoFailure(t, w)
}

// An acknowledged drain or deregistration survives the loss of the leader, although the target never reports again and
// still passes its health checks.
func TestDrainSurvivesLossOfLeader(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		w := Start(seed, Small)
		a := w.targets.all[int(seed)%len(w.targets.all)]
		a.withoutHeartbeats = true
		w.Run(w.now + 600*time.Millisecond)
		status := 0
		report, path, method := reportJSON(a, wire.TargetLeaving, 1000, ""), "/v1/targets/"+a.name, "PUT"
		if seed%2 == 1 {
			method, report = "DELETE", ""
		}
		w.call(w.followers()[0], method, path, "", []byte(report), "", func(r statemachine.Reply) {
			status = r.Status
			w.Kill(w.Leader())
		})
		w.Run(w.now + 900*time.Millisecond)
		if status != 200 {
			t.Fatalf("seed %d: %s got status %d, want 200", seed, method, status)
		}
		for range 500 {
			w.Run(w.now + 10*time.Millisecond)
			if l := w.Leader(); l != nil && l.controller.Table() != nil {
				if e := tableEntry(l.controller.Table(), a.name); e != nil && !e.Draining {
					t.Fatalf("seed %d: the target is no longer draining: %+v\n%s", seed, e, w.Trace(20))
				}
			}
		}
		requireNoFailure(t, w)
	}
}

// Warm-up lasts until the latest end that the target has reported. Only a later report of 0 ends it early. Targets of a
// restored domain warm up whatever they reported before, also under the next leader.
func TestWarmUpEndsWithTheTargetsOwnReport(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := Start(seed, Small)
		if r, _ := w.callAndWait(t, w.Leader(), "PATCH", "/v1/config", "base=1", `{"services":{"fares":{"cold_s":20,"cold_per_s":5},"pay":{"cold_s":20,"cold_per_s":5}}}`, ""); r.Status != 200 {
			t.Fatalf("seed %d: PATCH /v1/config: %d %s, want 200", seed, r.Status, r.Body)
		}
		a := w.targets.all[0]
		a.withoutHeartbeats = true
		w.Run(w.now + 600*time.Millisecond)
		left := func() time.Duration {
			return time.Duration(tableEntry(w.Leader().controller.Table(), a.name).WarmupLeft)
		}
		report := func(number uint64, warmUpMs int) {
			w.callAndWait(t, w.Leader(), "PUT", "/v1/targets/"+a.name, "", reportJSON(a, wire.TargetReady, number, fmt.Sprintf(`,"cold_left_ms":%d`, warmUpMs)), "")
		}
		report(1000, 9000)
		if l := left(); l < 8*time.Second || l > 9*time.Second {
			t.Fatalf("seed %d: warm-up left %v after a report of 9 s, want 8 s to 9 s", seed, l)
		}
		if report(1001, 500); left() < 8*time.Second {
			t.Errorf("seed %d: a later report of a shorter time reduced the warm-up to %v", seed, left())
		}
		if report(1001, 0); left() == 0 {
			t.Errorf("seed %d: a report with an old number ended the warm-up", seed)
		}
		if report(0, 0); left() == 0 {
			t.Errorf("seed %d: a report without a number ended the warm-up", seed)
		}
		if report(1002, 0); left() != 0 {
			t.Errorf("seed %d: a later report of 0 left a warm-up of %v", seed, left())
		}
		for _, what := range []string{"empty", "restore"} {
			if r, _ := w.callAndWait(t, w.Leader(), "POST", "/v1/domains/"+a.domain+"/"+what, "", "", ""); r.Status != 200 {
				t.Fatalf("seed %d: POST /v1/domains/%s/%s: %d %s, want 200", seed, a.domain, what, r.Status, r.Body)
			}
		}
		if left() < 17*time.Second {
			t.Fatalf("seed %d: warm-up left %v after the domain was restored, want at least 17 s", seed, left())
		}
		if seed%2 == 0 {
			w.Kill(w.Leader())
			for w.Leader() == nil || w.Leader().controller.Table() == nil || tableEntry(w.Leader().controller.Table(), a.name) == nil {
				w.Run(w.now + 10*time.Millisecond)
			}
			if left() < 10*time.Second {
				t.Errorf("seed %d: warm-up left %v under the next leader, want at least 10 s", seed, left())
			}
		} else {
			if report(1003, 0); left() == 0 {
				t.Errorf("seed %d: a report sent before the domain was restored ended the warm-up", seed)
			}
			if report(1004, 0); left() != 0 {
				t.Errorf("seed %d: a report of 0 sent after the domain was restored left a warm-up of %v", seed, left())
			}
		}
		requireNoFailure(t, w)
	}
}

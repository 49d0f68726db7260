package simulator

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// proxiesWithout counts the proxies whose table does not let anything be sent to a target.
func (w *World) proxiesWithout(name string) (count int) {
	for _, p := range w.daemons(wire.ProxyDaemon) {
		if p.alive && p.proxy.Table() != nil {
			if entry := tableEntry(p.proxy.Table(), name); entry == nil || entry.Draining {
				count++
			}
		}
	}
	return count
}

// reportJSON is a numbered report of a target, with an unknown field and what else is to be in it.
func reportJSON(t *Target, state wire.TargetState, number uint64, more string) string {
	return fmt.Sprintf(`{"service":%q,"incarnation":%d,"address":%q,"domain":%q,"state":%q,"number":%d,"mood":["any"]%s}`, t.service, t.incarnation, t.address, t.domain, state, number, more)
}

// Reports by name: a wrong field is named by its path, slots reach the tables, and an old
// report changes nothing.
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
	for _, c := range []struct{ more, at string }{
		{`,"slots":-1`, "slots"}, {`,"slots":1000001`, "slots"}, {`,"slots":"x"`, "slots"}, {`,"cold_left_ms":-5`, "cold_left_ms"},
		{`,"cold_left_ms":3600001`, "cold_left_ms"}, {`,"address":"nowhere"`, "address"}, {`,"state":"odd"`, "state"}, {`,"service":"A b"`, "service"},
	} {
		if s, at := put(f, reportJSON(a, wire.TargetReady, 1, c.more)); s != 422 || at != c.at {
			t.Errorf("%s: %d at %q", c.more, s, at)
		}
	}
	if !a.numbered {
		t.Fatal("not a target with numbered words")
	}
	if e := tableEntry(w.Leader().controller.Table(), a.name); e == nil || e.Slots != DefaultSlots || e.Number == 0 {
		t.Fatalf("%+v", e)
	}
	for _, n := range []uint64{a.lastNumber, 1} {
		if s, _ := put(f, reportJSON(a, wire.TargetLeaving, n, "")); s != 200 {
			t.Errorf("an old word: %d", s)
		}
	}
	if e := tableEntry(w.Leader().controller.Table(), a.name); e.Draining {
		t.Error("an old word has it held")
	}
	if s, _ := put(f, reportJSON(a, wire.TargetReady, a.lastNumber+100, `,"slots":7`)); s != 202 {
		t.Errorf("a word at a follower: %d", s)
	}
	w.Run(w.now + 300*time.Millisecond)
	if e := tableEntry(w.Leader().controller.Table(), a.name); e.Slots != 7 {
		t.Errorf("%+v", e)
	}
	requireNoFailure(t, w)
}

// A report of a target that is leaving or gone is acknowledged once a majority of the proxies has it,
// and not before; the same report again waits with it, and later ones are acknowledged at once.
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
		var acks []int
		ask := func(method, path, body string) {
			w.call(at, method, path, "", []byte(body), "", func(r statemachine.Reply) {
				if r.Status == 200 && 2*w.proxiesWithout(a.name) <= w.Plan.Proxies {
					t.Errorf("seed %d: %s acknowledged with %d of %d proxies", seed, method, w.proxiesWithout(a.name), w.Plan.Proxies)
				}
				acks = append(acks, r.Status)
			})
		}
		leaving := reportJSON(a, wire.TargetLeaving, 1000, "")
		if seed < 4 {
			ask("PUT", "/v1/targets/"+a.name, leaving)
			ask("PUT", "/v1/targets/"+a.name, leaving)
		} else {
			ask("DELETE", "/v1/targets/"+a.name, "")
			ask("DELETE", "/v1/targets/"+a.name, "")
		}
		w.Run(w.now + 900*time.Millisecond)
		if fmt.Sprint(acks) != "[200 200]" {
			t.Fatalf("seed %d: %v", seed, acks)
		}
		if r, _ := w.callAndWait(t, at, "DELETE", "/v1/targets/"+a.name, "", "", ""); r.Status != 200 {
			t.Errorf("signed off: %d", r.Status)
		}
		if r, _ := w.callAndWait(t, at, "DELETE", "/v1/targets/never-heard", "", "", ""); r.Status != 200 {
			t.Errorf("never heard: %d", r.Status)
		}
		if e := tableEntry(w.Leader().controller.Table(), a.name); e != nil {
			t.Errorf("still there: %+v", e)
		}
		requireNoFailure(t, w)
	}
}

// A majority is enough: lost proxies delay no acknowledgement, as their leases run out.
func TestDrainWaitsForNoLostProxy(t *testing.T) {
	t.Parallel()
	w := Start(25, Small)
	a := w.targets.all[0]
	a.withoutHeartbeats = true
	w.isolate([]string{"g1", "g2"}, 3*time.Second, true, true)
	from := w.now
	r, _ := w.callAndWait(t, w.followers()[0], "PUT", "/v1/targets/"+a.name, "", reportJSON(a, wire.TargetLeaving, 1000, ""), "")
	if r.Status != 200 || w.now-from > tuning.PullEvery*2 {
		t.Errorf("%d after %v", r.Status, w.now-from)
	}
	requireNoFailure(t, w)
}

// What can't reach a majority is not acknowledged, in time for the caller to go elsewhere.
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
			t.Errorf("%d after %v: %s", r.Status, w.now-from, r.Body)
		}
	}
	l := w.Leader()
	for _, p := range w.followers() {
		w.Kill(p)
	}
	w.Run(w.now + 2*time.Second)
	for _, state := range []wire.TargetState{wire.TargetReady, wire.TargetLeaving} {
		if r, _ := w.callAndWait(t, l, "PUT", "/v1/targets/"+a.name, "", reportJSON(a, state, 1001, ""), ""); r.Status != 503 || r.RetryAfter == 0 {
			t.Errorf("%s without a leader: %d", state, r.Status)
		}
	}
	if r, _ := w.callAndWait(t, l, "GET", "/v1/config", "", "", ""); r.Status != 503 {
		t.Errorf("read without a leader: %d", r.Status)
	}
	requireNoFailure(t, w)
}

// What was acknowledged outlives the leader, though the target never reports again and
// answers its health checks as one that serves.
func TestDrainOutlivesLeaders(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		w := Start(seed, Small)
		a := w.targets.all[int(seed)%len(w.targets.all)]
		a.withoutHeartbeats = true
		w.Run(w.now + 600*time.Millisecond)
		status := 0
		word, path, method := reportJSON(a, wire.TargetLeaving, 1000, ""), "/v1/targets/"+a.name, "PUT"
		if seed%2 == 1 {
			method, word = "DELETE", ""
		}
		w.call(w.followers()[0], method, path, "", []byte(word), "", func(r statemachine.Reply) {
			status = r.Status
			w.Kill(w.Leader())
		})
		w.Run(w.now + 900*time.Millisecond)
		if status != 200 {
			t.Fatalf("seed %d: %d", seed, status)
		}
		for range 500 {
			w.Run(w.now + 10*time.Millisecond)
			if l := w.Leader(); l != nil && l.controller.Table() != nil {
				if e := tableEntry(l.controller.Table(), a.name); e != nil && !e.Draining {
					t.Fatalf("seed %d: back: %+v\n%s", seed, e, w.Trace(20))
				}
			}
		}
		requireNoFailure(t, w)
	}
}

// Warm-up: the later end that was reported holds, a later report of 0 ends it, and a
// restored domain's targets warm up whatever they reported, also under the next leader.
func TestWarmUpEndsWithTheTargetsOwnReport(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := Start(seed, Small)
		if r, _ := w.callAndWait(t, w.Leader(), "PATCH", "/v1/config", "base=1", `{"services":{"fares":{"cold_s":20,"cold_per_s":5},"pay":{"cold_s":20,"cold_per_s":5}}}`, ""); r.Status != 200 {
			t.Fatalf("%s", r.Body)
		}
		a := w.targets.all[0]
		a.withoutHeartbeats = true
		w.Run(w.now + 600*time.Millisecond)
		left := func() time.Duration {
			return time.Duration(tableEntry(w.Leader().controller.Table(), a.name).WarmupLeft)
		}
		say := func(number uint64, cold int) {
			w.callAndWait(t, w.Leader(), "PUT", "/v1/targets/"+a.name, "", reportJSON(a, wire.TargetReady, number, fmt.Sprintf(`,"cold_left_ms":%d`, cold)), "")
		}
		say(1000, 9000)
		if l := left(); l < 8*time.Second || l > 9*time.Second {
			t.Fatalf("cold for %v", l)
		}
		if say(1001, 500); left() < 8*time.Second {
			t.Errorf("a shorter time ended it: %v", left())
		}
		if say(1001, 0); left() == 0 {
			t.Error("an old word ended it")
		}
		if say(0, 0); left() == 0 {
			t.Error("a word without a number ended it")
		}
		if say(1002, 0); left() != 0 {
			t.Errorf("a later word did not end it: %v", left())
		}
		for _, what := range []string{"empty", "restore"} {
			if r, _ := w.callAndWait(t, w.Leader(), "POST", "/v1/domains/"+a.domain+"/"+what, "", "", ""); r.Status != 200 {
				t.Fatalf("%s: %s", what, r.Body)
			}
		}
		if left() < 17*time.Second {
			t.Fatalf("restored, and cold for %v", left())
		}
		if seed%2 == 0 {
			w.Kill(w.Leader())
			for w.Leader() == nil || w.Leader().controller.Table() == nil || tableEntry(w.Leader().controller.Table(), a.name) == nil {
				w.Run(w.now + 10*time.Millisecond)
			}
			if left() < 10*time.Second {
				t.Errorf("seed %d: the next leader has it cold for %v", seed, left())
			}
		} else {
			if say(1003, 0); left() == 0 {
				t.Error("a word that was under way ended it")
			}
			if say(1004, 0); left() != 0 {
				t.Errorf("its own later word did not end it: %v", left())
			}
		}
		requireNoFailure(t, w)
	}
}

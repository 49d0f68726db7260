package simulator

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
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

// Words by name: what is wrong is named by its place, slots reach the tables, and an old
// word changes nothing.
func TestWordsByName(t *testing.T) {
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

// A word that says leaving or gone is acknowledged once a majority of the proxies knows,
// and not before; the same word again waits with it, and later ones are at once.
func TestLeavingIsAcknowledgedWhenKnown(t *testing.T) {
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

// A majority is enough: proxies that are lost hold no word up, as their leases lapse.
func TestLeavingWaitsForNoneThatIsLost(t *testing.T) {
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

// What can't be made known is not promised, in time for the caller to go elsewhere.
func TestLeavingIsNotPromised(t *testing.T) {
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

// What was acknowledged outlives the leader, though the target never speaks again but
// answers its probes as one that serves.
func TestLeavingOutlivesLeaders(t *testing.T) {
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

// Coldness: the later of what is told holds, a later word that tells 0 ends it, and a
// restored domain's targets are cold whatever they said, also under the next leader.
func TestCold(t *testing.T) {
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

// An operator's own revisions: steps of any size upwards, kept with the document, and
// the very same call again is answered as the first, also under the next leader.
func TestOwnRevisions(t *testing.T) {
	t.Parallel()
	p := Small
	p.ConfiguredDomains = []string{"d9"}
	w := Start(23, p)
	doc := func(rev, n int) string {
		b, _ := config.WithRevision(w.Document(n), uint64(rev))
		return string(b)
	}
	spaced := func(s string) string {
		var v any
		json.Unmarshal([]byte(s), &v)
		b, _ := json.MarshalIndent(v, " ", "  ")
		return string(b)
	}
	named := `{"revision":30,"set":{"services":{"fares":{"cap":33,"warm_cap":6,"timeout_ms":1000}}},"drop":{"services":["nobody"]}}`
	steps := []struct {
		method, path, query, body string
		status                    int
		rev                       float64
		at                        string
	}{
		{"PUT", "/v1/config", "base=1", doc(1, 2), 422, 1, "revision"},
		{"PUT", "/v1/config", "base=1", doc(7, 2), 200, 7, ""},
		{"PUT", "/v1/config", "base=1", doc(7, 2), 200, 7, ""},
		{"PUT", "/v1/config", "base=1", spaced(doc(7, 2)), 200, 7, ""},
		{"PUT", "/v1/config", "base=1", doc(8, 2), 412, 7, ""},
		{"PUT", "/v1/config", "base=1", doc(7, 3), 412, 7, ""},
		{"PUT", "/v1/config", "base=0", doc(7, 2), 412, 7, ""},
		{"PUT", "/v1/config", "base=7", doc(7, 2), 422, 7, "revision"},
		{"PATCH", "/v1/config", "base=7", `{"set":{"services":[]}}`, 422, 7, "set.services"},
		{"PATCH", "/v1/config", "base=7", `{"set":{},"odd":1}`, 422, 7, "odd"},
		{"PATCH", "/v1/config", "base=7", `{"drop":{"services":["fares"]}}`, 422, 7, "rules[0].service"},
		{"PATCH", "/v1/config", "base=7", named, 200, 30, ""},
		{"PATCH", "/v1/config", "base=7", named, 200, 30, ""},
		{"PATCH", "/v1/config", "base=7", `{"services":{"fares":{"cap":34}}}`, 412, 30, ""},
		{"PATCH", "/v1/config", "base=30", `{"services":{"fares":{"cap":34}}}`, 200, 31, ""},
		{"PATCH", "/v1/config", "base=30", `{"services":{"fares":{"cap":34}}}`, 200, 31, ""},
		{"POST", "/v1/config/rollback", "base=31&to=7", "", 200, 32, ""},
		{"POST", "/v1/config/rollback", "base=31&to=7", "", 200, 32, ""},
		{"POST", "/v1/domains/d9/empty", "", "", 200, 32, ""},
		{"POST", "/v1/domains/d9/empty", "", "", 200, 32, ""},
		{"POST", "/v1/domains/d9/restore", "", "", 200, 32, ""},
		{"POST", "/v1/domains/d8/empty", "", "", 404, 32, ""},
		{"PUT", "/v1/config", "base=32", doc(40, 4), 200, 40, ""},
	}
	run := func(from int) {
		for i, c := range steps[from:] {
			r, m := w.callAndWait(t, w.followers()[0], c.method, c.path, c.query, c.body, "")
			rev, at := m["revision"], ""
			if e, ok := m["error"].(map[string]any); ok {
				rev = e["revision"]
				if l, ok := e["faults"].([]any); ok {
					at = l[0].(map[string]any)["path"].(string)
				}
			}
			if r.Status != c.status || at != c.at || r.Status != 404 && rev != c.rev {
				t.Errorf("step %d, %s %s?%s: %d %s", from+i, c.method, c.path, c.query, r.Status, r.Body)
			}
		}
	}
	run(0)
	w.Kill(w.Leader())
	w.AwaitRecovery(10 * time.Second)
	run(len(steps) - 1)
	if r, _ := w.callAndWait(t, w.followers()[0], "GET", "/v1/config", "plain=", "", ""); string(r.Body) != doc(40, 4)+"\n" {
		t.Errorf("%s", r.Body)
	}
	if r, m := w.callAndWait(t, w.followers()[0], "PATCH", "/v1/config", "base=40", `{"services":{"fares":{"cap":35}}}`, ""); r.Status != 200 || m["revision"] != 41.0 {
		t.Errorf("%s", r.Body)
	}
	if _, m := w.callAndWait(t, w.followers()[0], "GET", "/v1/config", "plain=", "", ""); m["revision"] != 41.0 {
		t.Errorf("a document without a revision inside: %v", m["revision"])
	}
	requireNoFailure(t, w)
}

// The same change twice at once is one change; another on the same base loses.
func TestChangeAskedTwiceAtOnce(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		same, other := w.Document(2), w.Document(3)
		var got []string
		for i, doc := range [][]byte{same, same, other} {
			w.call(w.daemons(wire.ControlDaemon)[i%w.Plan.ControlDaemons], "PUT", "/v1/config", "base=1", doc, "", func(r statemachine.Reply) {
				var m struct {
					Revision uint64 `json:"revision"`
				}
				json.Unmarshal(r.Body, &m)
				got = append(got, fmt.Sprintf("%d %d %d", i/2, r.Status, m.Revision))
			})
		}
		w.Run(w.now + 3*time.Second)
		first, second := 0, 0
		for _, g := range got {
			switch g {
			case "0 200 2":
				first++
			case "1 200 2":
				second++
			case "0 412 0", "1 412 0":
			default:
				t.Errorf("seed %d: %v", seed, got)
			}
		}
		if len(got) != 3 || first+2*second != 2 || first == 1 {
			t.Errorf("seed %d: %v", seed, got)
		}
		requireNoFailure(t, w)
	}
}

// Orders that are repeated push no configuration out of what is kept.
func TestRepeatedOrdersKeepHistory(t *testing.T) {
	t.Parallel()
	w := Start(24, Small)
	w.callAndWait(t, w.Leader(), "PUT", "/v1/config", "base=1", string(w.Document(2)), "")
	for range tuning.ChangesKept + 4 {
		w.callAndWait(t, w.Leader(), "POST", "/v1/domains/d1/restore", "", "", "")
	}
	if r, m := w.callAndWait(t, w.Leader(), "PUT", "/v1/config", "base=1", string(w.Document(2)), ""); r.Status != 200 || m["revision"] != 2.0 {
		t.Errorf("%s", r.Body)
	}
	if n := len(w.Leader().controller.ChangeRecords()); n > 2*tuning.ChangesKept {
		t.Errorf("%d records", n)
	}
}

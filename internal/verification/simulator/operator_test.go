package simulator

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Each call has its status and error code, and only 200 has changed anything.
func TestRepliesToOperatorsCalls(t *testing.T) {
	t.Parallel()
	w := Start(9, Small)
	f := w.followers()[0] // forwards to the leader
	doc := string(w.Document(5))
	for i, c := range []struct {
		method, path, query, body, token string
		status                           int
		code                             string
	}{
		{"PUT", "/v1/config", "", doc, "", 428, "base_missing"},
		{"PUT", "/v1/config", "base=0", doc, "", 412, "stale"},
		{"PUT", "/v1/config", "base=7", doc, "", 412, "stale"},
		{"PUT", "/v1/config", "base=1", "[]", "", 400, "not_json"},
		{"PUT", "/v1/config", "base=1", `{"services":{"x":{"cap":0}}}`, "", 422, "invalid"},
		{"PUT", "/v1/config", "base=1", doc + strings.Repeat(" ", tuning.DocumentMax), "", 413, "too_large"},
		{"PATCH", "/v1/config", "base=1", `{"services":{"fares":{"cap":41}}}`, "mine", 200, ""},
		{"PATCH", "/v1/config", "base=1", `{"services":{"fares":{"cap":41}}}`, "mine", 200, ""}, // sent again after a lost reply
		{"PATCH", "/v1/config", "base=1", `{"services":{"fares":{"cap":42}}}`, "", 412, "stale"},
		{"PUT", "/v1/policies/odd", "base=2", `{"slice":"probe","when":"nonsense","decide":"bar","ttl_ms":5}`, "", 422, "invalid"},
		{"PUT", "/v1/policies/odd", "base=2", `{"slice":"probe","when":"missed > 9","decide":"bar","ttl_ms":5}`, "", 200, ""},
		{"DELETE", "/v1/policies/odd", "base=3", "", "", 200, ""},
		{"POST", "/v1/config/rollback", "base=4&to=1", "", "", 200, ""},
		{"POST", "/v1/config/rollback", "base=5&to=99", "", "", 404, "not_found"},
		{"POST", "/v1/domains/nowhere/empty", "", "", "", 404, "not_found"},
		{"POST", "/v1/domains/d1/empty", "", "", "", 200, ""},
		{"POST", "/v1/domains/d1/restore", "", "", "", 200, ""},
		{"POST", "/v1/gates/g1/forget", "", "", "", 409, "alive"},
		{"GET", "/v1/changes/none", "", "", "", 404, "not_found"},
		{"GET", "/v1/changes/mine", "", "", "", 200, ""},
		{"GET", "/v1/nothing", "", "", "", 404, "not_found"},
	} {
		token := c.token
		if token == "" {
			token = fmt.Sprintf("call%d", i)
		}
		r, m := w.callAndWait(t, f, c.method, c.path, c.query, c.body, token)
		code := ""
		if e, ok := m["error"].(map[string]any); ok {
			code, _ = e["code"].(string)
		}
		if r.Status != c.status || code != c.code {
			t.Errorf("call %d, %s %s?%s: %d %s", i, c.method, c.path, c.query, r.Status, r.Body)
		}
	}
	_, m := w.callAndWait(t, f, "GET", "/v1/config/diff", "from=1&to=2", "", "d")
	if b, _ := json.Marshal(m["merge_patch"]); string(b) != `{"services":{"fares":{"cap":41}}}` {
		t.Errorf("diff %s", b)
	}
	if r, m := w.callAndWait(t, f, "GET", "/v1/config", "", "", "g"); r.Status != 200 || m["revision"].(float64) != 5 {
		t.Errorf("%s", r.Body)
	}
	requireNoFailure(t, w)
}

// Without a leader nothing is changed and the reply says so; when the proxies
// can't be made to follow, it is 'unknown', and the id shows later what became of it.
func TestUnclearChangeIsReportedAsUnknown(t *testing.T) {
	t.Parallel()
	w := Start(10, Small)
	for _, n := range []string{"g1", "g2", "g3"} {
		w.Kill(w.process(n))
	}
	r, m := w.callAndWait(t, w.Leader(), "PUT", "/v1/config", "base=1", string(w.Document(6)), "doubt")
	if e := m["error"].(map[string]any); r.Status != 504 || e["ran"] != "unknown" || e["id"] != "doubt" {
		t.Fatalf("%d %s", r.Status, r.Body)
	}
	if r, m := w.callAndWait(t, w.Leader(), "GET", "/v1/changes/doubt", "", "", "x"); r.Status != 200 || m["outcome"] != "accepted" || m["revision"].(float64) != 2 {
		t.Fatalf("%s", r.Body)
	}
	for _, n := range []string{"g1", "g2", "g3"} {
		w.Restart(w.process(n))
	}
	w.AwaitRecovery(10 * time.Second)
	l := w.Leader()
	for _, p := range w.followers() {
		w.Kill(p)
	}
	w.Run(w.now + 2*time.Second)
	r, m = w.callAndWait(t, l, "PUT", "/v1/config", "base=2", string(w.Document(7)), "none")
	if e := m["error"].(map[string]any); r.Status != 503 || r.RetryAfter == 0 || e["ran"] != "no" {
		t.Fatalf("%d %s", r.Status, r.Body)
	}
	requireNoFailure(t, w)
}

// An address that another target has registered for is served for the new one
// only once the old entry is out of every table, and the old one is rejected.
func TestNewTargetWaitsForItsAddress(t *testing.T) {
	t.Parallel()
	w := Start(11, Small)
	old := w.targets.all[0]
	w.isolate([]string{"g1"}, 3*time.Second, true, true) // has the old entry, and a lease
	w.CrashTarget(old)
	n := w.AddTarget("pay", "heir", old.domain, old.address, 0)
	seen := time.Duration(0)
	for range 300 {
		w.Run(w.now + 10*time.Millisecond)
		for _, x := range w.Leader().controller.Table().Targets {
			if x.Name == old.name && x.Incarnation == old.incarnation && seen > 0 {
				t.Fatal("the old entry is back")
			}
			if x.Name != n.name {
				continue
			}
			if seen == 0 {
				seen = w.now
				if !x.Pending {
					t.Fatal("served at once")
				}
			}
			if !x.Pending {
				if d := w.now - seen; d < 500*time.Millisecond || d > 1500*time.Millisecond {
					t.Fatalf("pending for %v", d)
				}
				requireNoFailure(t, w)
				return
			}
		}
	}
	t.Fatalf("never served\n%s", w.Trace(20))
}

// Large configurations in quick succession, with followers that can't keep up,
// never grow a member's state past what a file of its write-ahead log holds.
func TestStateFitsTheWAL(t *testing.T) {
	t.Parallel()
	w := Start(12, Small)
	pad := strings.Repeat("x", tuning.DocumentMax-2000)
	most := 0
	for i := range 60 {
		var doc map[string]any
		json.Unmarshal(w.Document(i), &doc)
		doc["policies"] = map[string]any{"p": map[string]any{"slice": "probe", "when": "missed > 30", "decide": "bar", "ttl_ms": 5, "note": pad}}
		b, _ := json.Marshal(doc)
		if i%20 == 10 {
			for _, p := range w.followers() {
				w.StallDisk(p, 1500*time.Millisecond)
			}
		}
		if l := w.Leader(); l != nil {
			w.SendChange(l, "PUT", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), b, &change{kind: "big"})
		}
		w.Run(w.now + 60*time.Millisecond)
		for _, n := range w.daemonNames(wire.ControlDaemon) {
			rec, err := wire.EncodeBatch(w.process(n).disk.image.Checkpoint())
			if err != nil {
				t.Fatal(err)
			}
			if most = max(most, len(rec)); most > tuning.WALFileSize/2 {
				t.Fatalf("change %d: %s holds %d bytes", i, n, len(rec))
			}
		}
	}
	w.Run(w.now + 8*time.Second)
	requireNoFailure(t, w)
	if w.Stats.AcceptedChanges < 20 {
		t.Fatalf("%+v", w.Stats)
	}
}

// Policies are compared on the traffic of the day: the live one and a shadow one that
// ejects at the first miss see the same, and each has its own score.
func TestPoliciesAreScoredOnTraffic(t *testing.T) {
	t.Parallel()
	w := Start(11, Small)
	r, _ := w.callAndWait(t, w.Leader(), "PUT", "/v1/policies/hasty", "base=1", `{"slice":"probe","when":"misses_in_row >= 1","clear":"ok_in_row >= 1","decide":"bar","ttl_ms":30000,"mode":"shadow"}`, "p")
	if r.Status != 200 {
		t.Fatalf("%s", r.Body)
	}
	for i := range 4 { // pauses that only the hasty one takes for crashes, and a crash
		w.targets.all[i].hanging = true
		w.Run(w.now + 430*time.Millisecond)
		w.targets.all[i].hanging = false
		w.Run(w.now + 2*time.Second)
	}
	w.CrashTarget(w.targets.all[5])
	w.Run(w.now + 3*time.Second)
	requireNoFailure(t, w)
	_, m := w.callAndWait(t, w.Leader(), "GET", "/v1/policies", "", "", "q")
	score := func(n string) (bars, wrong, toBar float64) {
		s := m["policies"].(map[string]any)[n].(map[string]any)["score"].(map[string]any)
		return s["bars"].(float64), s["wrong_bars"].(float64), s["to_bar_ms"].(float64)
	}
	bars, wrong, toBar := score("default")
	hbars, hwrong, htoBar := score("hasty")
	t.Logf("default: %v bars, %v wrong, %v ms; hasty: %v bars, %v wrong, %v ms", bars, wrong, toBar, hbars, hwrong, htoBar)
	if bars != 1 || hbars < 3 || htoBar >= toBar {
		t.Errorf("default %v bars after %v ms, hasty %v after %v ms", bars, toBar, hbars, htoBar)
	}
}

// What policies decided outlives leaders and replacements: an ejection by the default
// policy and a drain by an operator's are in the next leader's tables from the first
// on, and remain under a changed policy of the same name.
func TestDecisionsOutliveLeaders(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		r, _ := w.callAndWait(t, w.Leader(), "PUT", "/v1/policies/mute", "base=1", `{"slice":"beat","when":"silent_ms > 2000","clear":"silent_ms == 0","decide":"hold"}`, "p")
		if r.Status != 200 {
			t.Fatalf("%s", r.Body)
		}
		shut, mute := w.targets.all[0], w.targets.all[1]
		delete(w.targets.listening, shut.address) // its port is closed, its heartbeats go on
		mute.state = "mute"                       // no daemon accepts such a report, but it answers health checks
		w.Run(w.now + 4*time.Second)
		out := func() (a, b bool) {
			a, b = true, true
			for _, x := range w.Leader().controller.Table().Targets {
				a = a && (x.Name != shut.name || x.EjectionLeft > 0 || x.Pending)
				b = b && (x.Name != mute.name || x.EjectionLeft > 0 || x.Pending)
			}
			return a, b
		}
		if a, b := out(); !a || !b {
			t.Fatalf("seed %d: not out: %v %v\n%s", seed, a, b, w.Trace(20))
		}
		if seed%2 == 0 {
			w.Kill(w.Leader())
		} else if r, _ := w.callAndWait(t, w.Leader(), "PUT", "/v1/policies/mute", "base=2", `{"slice":"beat","when":"silent_ms > 2100","clear":"silent_ms == 0","decide":"hold"}`, "q"); r.Status != 200 {
			t.Fatalf("%s", r.Body)
		}
		for range 300 {
			w.Run(w.now + 10*time.Millisecond)
			if w.Leader() != nil && w.Leader().controller.Table() != nil {
				if a, b := out(); !a || !b {
					t.Fatalf("seed %d: back in a table: shut %v, mute %v\n%s", seed, !a, !b, w.Trace(20))
				}
			}
		}
		requireNoFailure(t, w)
	}
}

// A change forwarded to a leader that is lost is forwarded to the next; what the first may
// have had agreed is never reported as rejected, and in the end its fate is reported.
func TestChangeOutlivesItsLeader(t *testing.T) {
	t.Parallel()
	told := 0
	for seed := range uint64(60) {
		w := Start(seed, Small)
		l := w.Leader()
		w.PutConfig(w.followers()[int(seed)%2], 1, 2)
		w.Run(w.now + time.Duration(seed%20)*time.Millisecond)
		w.isolate([]string{l.name}, 5*time.Second, true, true)
		w.Run(w.now + 8*time.Second)
		w.CheckAcknowledgedChanges()
		requireNoFailure(t, w)
		if w.operators.changes[1].state == changeAccepted {
			told++
		}
	}
	if told < 55 {
		t.Errorf("only %d of 60 were in force and said so", told)
	}
}

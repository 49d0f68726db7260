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

// Each operator call gets the status and error code of its case, and only calls answered 200 change anything.
func TestOperatorCallStatusAndErrorCode(t *testing.T) {
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
		{"PATCH", "/v1/config", "base=1", `{"services":{"fares":{"cap":41}}}`, "mine", 200, ""}, // retried after a lost reply
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
			t.Errorf("call %d, %s %s?%s: status %d, want %d %q: %s", i, c.method, c.path, c.query, r.Status, c.status, c.code, r.Body)
		}
	}
	_, m := w.callAndWait(t, f, "GET", "/v1/config/diff", "from=1&to=2", "", "d")
	if b, _ := json.Marshal(m["merge_patch"]); string(b) != `{"services":{"fares":{"cap":41}}}` {
		t.Errorf("merge patch from revision 1 to 2: %s, want cap 41 of service fares", b)
	}
	if r, m := w.callAndWait(t, f, "GET", "/v1/config", "", "", "g"); r.Status != 200 || m["revision"].(float64) != 5 {
		t.Errorf("GET /v1/config: %d %s, want revision 5", r.Status, r.Body)
	}
	requireNoFailure(t, w)
}

// A change that no majority of proxies can confirm gets 504 with outcome 'unknown', and its id later returns the
// outcome. A change sent to a control daemon without a majority of members gets 503 and has not run.
func TestUnclearChangeIsReportedAsUnknown(t *testing.T) {
	t.Parallel()
	w := Start(10, Small)
	for _, n := range []string{"g1", "g2", "g3"} {
		w.Kill(w.process(n))
	}
	r, m := w.callAndWait(t, w.Leader(), "PUT", "/v1/config", "base=1", string(w.Document(6)), "doubt")
	if e := m["error"].(map[string]any); r.Status != 504 || e["ran"] != "unknown" || e["id"] != "doubt" {
		t.Fatalf("change without proxies: %d %s, want 504 with an unknown outcome", r.Status, r.Body)
	}
	if r, m := w.callAndWait(t, w.Leader(), "GET", "/v1/changes/doubt", "", "", "x"); r.Status != 200 || m["outcome"] != "accepted" || m["revision"].(float64) != 2 {
		t.Fatalf("GET /v1/changes/doubt: %d %s, want accepted as revision 2", r.Status, r.Body)
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
		t.Fatalf("change without a majority of members: %d %s, want 503 with Retry-After and not run", r.Status, r.Body)
	}
	requireNoFailure(t, w)
}

// A target registers at the address of a crashed one while a proxy with a valid lease still holds the old entry. The
// new target stays pending until the old entry has left every table, and the old entry does not come back.
func TestNewTargetWaitsForItsAddress(t *testing.T) {
	t.Parallel()
	w := Start(11, Small)
	old := w.targets.all[0]
	w.isolate([]string{"g1"}, 3*time.Second, true, true) // g1 keeps the old entry and a valid lease
	w.CrashTarget(old)
	n := w.AddTarget("pay", "heir", old.domain, old.address, 0)
	seen := time.Duration(0) // when n was first in the leader's table; 0: not yet
	for range 300 {
		w.Run(w.now + 10*time.Millisecond)
		for _, x := range w.Leader().controller.Table().Targets {
			if x.Name == old.name && x.Incarnation == old.incarnation && seen > 0 {
				t.Fatalf("%s is in the table again after %s replaced it", old.name, n.name)
			}
			if x.Name != n.name {
				continue
			}
			if seen == 0 {
				seen = w.now
				if !x.Pending {
					t.Fatalf("%s is not pending although g1 may still hold the old entry", n.name)
				}
			}
			if !x.Pending {
				if d := w.now - seen; d < 500*time.Millisecond || d > 1500*time.Millisecond {
					t.Fatalf("%s was pending for %v, want 500 ms to 1.5 s", n.name, d)
				}
				requireNoFailure(t, w)
				return
			}
		}
	}
	t.Fatalf("%s is not served after 3 s\n%s", n.name, w.Trace(20))
}

// Configurations close to the size limit arrive faster than followers with stalled disks can sync them. No member's
// checkpoint may exceed half a file of the write-ahead log.
func TestCheckpointFitsWALFile(t *testing.T) {
	t.Parallel()
	w := Start(12, Small)
	pad := strings.Repeat("x", tuning.DocumentMax-2000)
	largest := 0 // bytes
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
			if largest = max(largest, len(rec)); largest > tuning.WALFileSize/2 {
				t.Fatalf("change %d: the checkpoint of %s has %d bytes, want at most %d", i, n, len(rec), tuning.WALFileSize/2)
			}
		}
	}
	w.Run(w.now + 8*time.Second)
	requireNoFailure(t, w)
	if w.Stats.AcceptedChanges < 20 {
		t.Fatalf("%d changes were accepted, want at least 20: %+v", w.Stats.AcceptedChanges, w.Stats)
	}
}

// The live policy and a shadow policy that ejects at the first failed health check see the same traffic, and each gets
// its own score. Short pauses count as ejections for the shadow policy only.
func TestPoliciesAreScoredOnTraffic(t *testing.T) {
	t.Parallel()
	w := Start(11, Small)
	r, _ := w.callAndWait(t, w.Leader(), "PUT", "/v1/policies/hasty", "base=1", `{"slice":"probe","when":"misses_in_row >= 1","clear":"ok_in_row >= 1","decide":"bar","ttl_ms":30000,"mode":"shadow"}`, "p")
	if r.Status != 200 {
		t.Fatalf("PUT /v1/policies/hasty: %d %s, want 200", r.Status, r.Body)
	}
	for i := range 4 { // pauses that only the hasty policy takes for crashes; a real crash follows
		w.targets.all[i].hanging = true
		w.Run(w.now + 430*time.Millisecond)
		w.targets.all[i].hanging = false
		w.Run(w.now + 2*time.Second)
	}
	w.CrashTarget(w.targets.all[5])
	w.Run(w.now + 3*time.Second)
	requireNoFailure(t, w)
	_, m := w.callAndWait(t, w.Leader(), "GET", "/v1/policies", "", "", "q")
	score := func(n string) (ejections, wrong, msToEject float64) {
		s := m["policies"].(map[string]any)[n].(map[string]any)["score"].(map[string]any)
		return s["bars"].(float64), s["wrong_bars"].(float64), s["to_bar_ms"].(float64)
	}
	ejections, wrong, delay := score("default")
	hastyEjections, hastyWrong, hastyDelay := score("hasty")
	t.Logf("default: %v ejections, %v wrong, %v ms; hasty: %v ejections, %v wrong, %v ms", ejections, wrong, delay, hastyEjections, hastyWrong, hastyDelay)
	if ejections != 1 || hastyEjections < 3 || hastyDelay >= delay {
		t.Errorf("default: %v ejections, want 1, after %v ms; hasty: %v ejections, want at least 3, after %v ms, want less than default", ejections, delay, hastyEjections, hastyDelay)
	}
}

// An ejection by the default policy and a drain by an operator's policy stay in every table when the leader is killed
// (even seeds) and when the operator's policy is replaced under the same name (odd seeds).
func TestPolicyDecisionsSurviveLeaderAndPolicyChange(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		r, _ := w.callAndWait(t, w.Leader(), "PUT", "/v1/policies/mute", "base=1", `{"slice":"beat","when":"silent_ms > 2000","clear":"silent_ms == 0","decide":"hold"}`, "p")
		if r.Status != 200 {
			t.Fatalf("seed %d: PUT /v1/policies/mute: %d %s, want 200", seed, r.Status, r.Body)
		}
		closed, mute := w.targets.all[0], w.targets.all[1]
		delete(w.targets.listening, closed.address) // its port is closed, its heartbeats go on
		mute.state = "mute"                         // no daemon accepts a report of this state, but it answers health checks
		w.Run(w.now + 4*time.Second)
		ejected := func() (closedOut, muteOut bool) {
			closedOut, muteOut = true, true
			for _, x := range w.Leader().controller.Table().Targets {
				closedOut = closedOut && (x.Name != closed.name || x.EjectionLeft > 0 || x.Pending)
				muteOut = muteOut && (x.Name != mute.name || x.EjectionLeft > 0 || x.Pending)
			}
			return closedOut, muteOut
		}
		if closedOut, muteOut := ejected(); !closedOut || !muteOut {
			t.Fatalf("seed %d: ejected: target with closed port %v, target without reports %v, want both\n%s", seed, closedOut, muteOut, w.Trace(20))
		}
		if seed%2 == 0 {
			w.Kill(w.Leader())
		} else if r, _ := w.callAndWait(t, w.Leader(), "PUT", "/v1/policies/mute", "base=2", `{"slice":"beat","when":"silent_ms > 2100","clear":"silent_ms == 0","decide":"hold"}`, "q"); r.Status != 200 {
			t.Fatalf("seed %d: second PUT /v1/policies/mute: %d %s, want 200", seed, r.Status, r.Body)
		}
		for range 300 {
			w.Run(w.now + 10*time.Millisecond)
			if w.Leader() != nil && w.Leader().controller.Table() != nil {
				if closedOut, muteOut := ejected(); !closedOut || !muteOut {
					t.Fatalf("seed %d: no longer ejected: target with closed port %v, target without reports %v, want neither\n%s", seed, !closedOut, !muteOut, w.Trace(20))
				}
			}
		}
		requireNoFailure(t, w)
	}
}

// A change forwarded to a leader that is then isolated is forwarded to the next leader. If the first leader may have
// committed it, it is never reported as rejected, and its outcome is reported in the end.
func TestForwardedChangeSurvivesLossOfLeader(t *testing.T) {
	t.Parallel()
	accepted := 0
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
			accepted++
		}
	}
	if accepted < 55 {
		t.Errorf("only %d of 60 changes were reported as accepted, want at least 55", accepted)
	}
}

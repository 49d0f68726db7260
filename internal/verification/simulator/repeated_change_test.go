package simulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// testChange is an operator's change of the configuration. Tests send it several times.
type testChange struct {
	base     uint64 // the revision that the change is built on
	doc      []byte // the configuration document
	token    string // the id that the operator chose; "": none
	revision uint64 // the revision that the change created; 0: it was rejected
}

// sendConfiguration sends a change to a daemon and returns its reply and the revision in it, 0 if there is none.
func (w *World) sendConfiguration(t *testing.T, p *Process, c testChange) (statemachine.Reply, uint64) {
	t.Helper()
	r, fields := w.callAndWait(t, p, "PUT", "/v1/config", fmt.Sprintf("base=%d", c.base), string(c.doc), c.token)
	revision, _ := fields["revision"].(float64)
	return r, uint64(revision)
}

// An accepted change that is sent again to any member is acknowledged again: after hundreds of later changes, under
// another leader, and after restarts and snapshots. A different change on the same base, which was rejected, is rejected
// again. Once all disks are lost, either may instead get 504 (outcome unknown), except for the latest change.
func TestRepeatedChangeIsAcknowledgedAgain(t *testing.T) {
	t.Parallel()
	const changes = 300 // enough for a snapshot, which is taken each tuning.LogMax entries
	w := Start(21, Small)
	var accepted, rejected []testChange
	for i := range changes {
		c := testChange{base: w.Revision(), doc: w.Document(i + 10)}
		r, revision := w.sendConfiguration(t, w.Leader(), c)
		if r.Status != 200 {
			t.Fatalf("change %d: %d %s, want 200", i, r.Status, r.Body)
		}
		c.revision = revision
		accepted = append(accepted, c)
		rejected = append(rejected, testChange{base: c.base, doc: w.Document(i + 5000)})
	}
	last := len(accepted) - 1
	sendAgain := func(when string, mayForget bool) {
		t.Helper()
		for k, i := range []int{0, 1, 100, last - tuning.ChangesKept - 1, last - 1, last} {
			p := w.daemons(wire.ControlDaemon)[k%w.Plan.ControlDaemons]
			r, revision := w.sendConfiguration(t, p, accepted[i])
			switch {
			case r.Status == 200 && revision == accepted[i].revision:
			case r.Status == 504 && mayForget && i != last:
			default:
				t.Errorf("%s: change %d sent again: %d %s, want 200 with revision %d", when, i, r.Status, r.Body, accepted[i].revision)
			}
			r, _ = w.sendConfiguration(t, p, rejected[i])
			if r.Status != 412 && !(r.Status == 504 && mayForget && i != last) {
				t.Errorf("%s: the rejected change on the base of change %d, sent again: %d %s, want 412", when, i, r.Status, r.Body)
			}
		}
	}
	sendAgain("immediately", false)
	old := w.Leader()
	w.Kill(old)
	w.AwaitRecovery(10 * time.Second)
	w.Restart(old)
	w.Run(w.now + time.Second)
	sendAgain("under another leader", false)
	for _, p := range w.fleet() {
		w.Kill(p)
	}
	for _, p := range w.fleet() {
		w.Restart(p)
	}
	w.AwaitRecovery(10 * time.Second)
	sendAgain("after a restart of all daemons", false)
	for _, p := range w.daemons(wire.ControlDaemon) {
		w.Kill(p)
		w.WipeDisk(p)
	}
	w.Run(w.now + 2*time.Second)
	for _, p := range w.daemons(wire.ControlDaemon) {
		w.Restart(p)
	}
	w.AwaitRecovery(15 * time.Second)
	sendAgain("after a loss of all disks", true)
	requireNoFailure(t, w)
}

// Three different documents, one of them with an id, are sent on the same base to several members at once, each more
// than once. One document is accepted and all of its copies are acknowledged as one change; the others are rejected. No
// call may get a reply that only says that a change is in progress.
func TestOneOfConcurrentChangesWins(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		w := Start(seed, Small)
		changes := []testChange{{base: 1, doc: w.Document(2)}, {base: 1, doc: w.Document(3), token: "third"}, {base: 1, doc: w.Document(4)}}
		type reply struct{ change, status, revision int }
		var got []reply
		for i := range 8 {
			k := i % len(changes)
			w.call(w.daemons(wire.ControlDaemon)[(i+int(seed))%w.Plan.ControlDaemons], "PUT", "/v1/config", "base=1", changes[k].doc, changes[k].token, func(r statemachine.Reply) {
				got = append(got, reply{k, r.Status, int(revisionOf(r))})
			})
			if seed%3 == 0 {
				w.Run(w.now + w.randomMilliseconds(0, 3))
			}
		}
		w.Run(w.now + 3*time.Second)
		if len(got) != 8 {
			t.Fatalf("seed %d: %d replies to 8 calls, want one for each", seed, len(got))
		}
		acceptedReply := slices.IndexFunc(got, func(r reply) bool { return r.status == 200 })
		for _, r := range got {
			want := reply{r.change, 412, 0}
			if acceptedReply >= 0 && r.change == got[acceptedReply].change {
				want = reply{r.change, 200, 2}
			}
			if r != want {
				t.Errorf("seed %d: got %+v, want %+v; all replies: %+v", seed, r, want, got)
				break
			}
		}
		requireNoFailure(t, w)
	}
}

// A call that empties a domain is sent again under its id long after it was accepted and undone. It is acknowledged, and
// the domain is not emptied again.
func TestRepeatedDomainChangeHasNoEffect(t *testing.T) {
	t.Parallel()
	w := Start(22, Small)
	for i := range 3 * tuning.ChangesKept {
		for _, what := range []string{"empty", "restore"} {
			if r, _ := w.callAndWait(t, w.daemons(wire.ControlDaemon)[i%w.Plan.ControlDaemons], "POST", "/v1/domains/d1/"+what, "", "", fmt.Sprintf("%s%d", what, i)); r.Status != 200 {
				t.Fatalf("POST /v1/domains/d1/%s, round %d: %d %s, want 200", what, i, r.Status, r.Body)
			}
		}
	}
	if r, _ := w.callAndWait(t, w.Leader(), "POST", "/v1/domains/d1/empty", "", "", "empty0"); r.Status != 200 {
		t.Errorf("the first call sent again: %d %s, want 200", r.Status, r.Body)
	}
	if _, m := w.callAndWait(t, w.Leader(), "GET", "/v1/domains", "", "", ""); len(m["emptied"].([]any)) > 0 {
		t.Errorf("emptied domains %v, want none", m["emptied"])
	}
	requireNoFailure(t, w)
}

// Two operators who send the same configuration on the same base make one change: both get the same revision and learn
// that it is in force. Of two different configurations only one is accepted.
func TestSameConfigurationFromTwoOperatorsIsOneChange(t *testing.T) {
	t.Parallel()
	for _, second := range []int{7, 8} {
		for seed := range uint64(6) {
			w := Start(seed+1, Small)
			for i, n := range []int{7, second} {
				w.PutConfig(w.daemons(wire.ControlDaemon)[i], 1, n)
			}
			w.Run(w.now + 8*time.Second)
			requireNoFailure(t, w)
			accepted, revs := 0, map[uint64]bool{}
			for _, c := range w.operators.changes[1:] {
				if c.state == changeAccepted {
					accepted++
					revs[c.revision] = true
				}
			}
			want := 1
			if second == 7 {
				want = 2
			}
			if accepted != want || len(revs) != 1 {
				t.Errorf("seed %d, documents 7 and %d: %d accepted, want %d; revisions %v, want one\n%s", w.Seed, second, accepted, want, revs, w.Trace(10))
			}
		}
	}
}

// Two copies of one document and a different document are sent at once on the same base. Either both copies are acknowledged
// as one change and the other document is rejected, or the other document is accepted and both copies are rejected.
func TestSameChangeSentTwiceAtOnceIsOneChange(t *testing.T) {
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
				t.Errorf("seed %d: unexpected reply %q among %q (document, status, revision)", seed, g, got)
			}
		}
		if len(got) != 3 || first+2*second != 2 || first == 1 {
			t.Errorf("seed %d: replies %q (document, status, revision), want only document 0 accepted, in both copies, or only document 1", seed, got)
		}
		requireNoFailure(t, w)
	}
}

// Repeated domain calls must not displace the record of an accepted configuration: that change is still acknowledged
// when it is sent again.
func TestRepeatedChangesKeepEarlierRecords(t *testing.T) {
	t.Parallel()
	w := Start(24, Small)
	w.callAndWait(t, w.Leader(), "PUT", "/v1/config", "base=1", string(w.Document(2)), "")
	for range tuning.ChangesKept + 4 {
		w.callAndWait(t, w.Leader(), "POST", "/v1/domains/d1/restore", "", "", "")
	}
	if r, m := w.callAndWait(t, w.Leader(), "PUT", "/v1/config", "base=1", string(w.Document(2)), ""); r.Status != 200 || m["revision"] != 2.0 {
		t.Errorf("the configuration sent again: %d %s, want revision 2", r.Status, r.Body)
	}
	if n := len(w.Leader().controller.ChangeRecords()); n > 2*tuning.ChangesKept {
		t.Errorf("%d change records are kept, want at most %d", n, 2*tuning.ChangesKept)
	}
}

// Operators may number revisions themselves: a revision may exceed its base by any step and is stored with the document.
// The same call sent again gets the same answer, also under the next leader.
func TestOperatorChosenRevisions(t *testing.T) {
	t.Parallel()
	p := Small
	p.ConfiguredDomains = []string{"d9"}
	w := Start(23, p)
	doc := func(rev, n int) string {
		b, _ := config.WithRevision(w.Document(n), uint64(rev))
		return string(b)
	}
	indented := func(s string) string {
		var v any
		json.Unmarshal([]byte(s), &v)
		b, _ := json.MarshalIndent(v, " ", "  ")
		return string(b)
	}
	patch := `{"revision":30,"set":{"services":{"fares":{"cap":33,"warm_cap":6,"timeout_ms":1000}}},"drop":{"services":["nobody"]}}`
	steps := []struct {
		method, path, query, body string
		status                    int     // wanted in the reply, like rev and at
		rev                       float64 // the revision
		at                        string  // the path of the first invalid field; "": none
	}{
		{"PUT", "/v1/config", "base=1", doc(1, 2), 422, 1, "revision"},
		{"PUT", "/v1/config", "base=1", doc(7, 2), 200, 7, ""},
		{"PUT", "/v1/config", "base=1", doc(7, 2), 200, 7, ""},
		{"PUT", "/v1/config", "base=1", indented(doc(7, 2)), 200, 7, ""},
		{"PUT", "/v1/config", "base=1", doc(8, 2), 412, 7, ""},
		{"PUT", "/v1/config", "base=1", doc(7, 3), 412, 7, ""},
		{"PUT", "/v1/config", "base=0", doc(7, 2), 412, 7, ""},
		{"PUT", "/v1/config", "base=7", doc(7, 2), 422, 7, "revision"},
		{"PATCH", "/v1/config", "base=7", `{"set":{"services":[]}}`, 422, 7, "set.services"},
		{"PATCH", "/v1/config", "base=7", `{"set":{},"odd":1}`, 422, 7, "odd"},
		{"PATCH", "/v1/config", "base=7", `{"drop":{"services":["fares"]}}`, 422, 7, "rules[0].service"},
		{"PATCH", "/v1/config", "base=7", patch, 200, 30, ""},
		{"PATCH", "/v1/config", "base=7", patch, 200, 30, ""},
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
				t.Errorf("step %d, %s %s?%s: %d %s, want %d, revision %v, invalid field %q", from+i, c.method, c.path, c.query, r.Status, r.Body, c.status, c.rev, c.at)
			}
		}
	}
	run(0)
	w.Kill(w.Leader())
	w.AwaitRecovery(10 * time.Second)
	run(len(steps) - 1)
	if r, _ := w.callAndWait(t, w.followers()[0], "GET", "/v1/config", "plain=", "", ""); string(r.Body) != doc(40, 4)+"\n" {
		t.Errorf("GET /v1/config?plain: %s, want the document of revision 40", r.Body)
	}
	if r, m := w.callAndWait(t, w.followers()[0], "PATCH", "/v1/config", "base=40", `{"services":{"fares":{"cap":35}}}`, ""); r.Status != 200 || m["revision"] != 41.0 {
		t.Errorf("PATCH on base 40: %d %s, want revision 41", r.Status, r.Body)
	}
	if _, m := w.callAndWait(t, w.followers()[0], "GET", "/v1/config", "plain=", "", ""); m["revision"] != 41.0 {
		t.Errorf("the document has revision %v, want 41", m["revision"])
	}
	requireNoFailure(t, w)
}

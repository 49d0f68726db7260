package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// testChange is an operator's change of the configuration, which is sent as often as need be.
type testChange struct {
	base     uint64
	doc      []byte
	token    string // the operator's own id, "" for none
	revision uint64 // that it led to, 0: it lost
}

// sendConfiguration sends a change and waits for its reply, and the revision that it names.
func (w *World) sendConfiguration(t *testing.T, p *Process, c testChange) (statemachine.Reply, uint64) {
	t.Helper()
	r, fields := w.callAndWait(t, p, "PUT", "/v1/config", fmt.Sprintf("base=%d", c.base), string(c.doc), c.token)
	revision, _ := fields["revision"].(float64)
	return r, uint64(revision)
}

// An order that was taken is acknowledged when it is sent again, by any member, over
// hundreds of changes on top, another leader, restarts and snapshots, and the one that
// lost against it is refused. After a loss of all disks it is acknowledged or left
// without a clear answer.
func TestOldOrdersSentAgain(t *testing.T) {
	t.Parallel()
	const changes = 300 // over one snapshot each tuning.LogMax entries
	w := Start(21, Small)
	var taken, lost []testChange
	for i := range changes {
		o := testChange{base: w.Revision(), doc: w.Document(i + 10)}
		r, revision := w.sendConfiguration(t, w.Leader(), o)
		if r.Status != 200 {
			t.Fatalf("change %d: %d %s", i, r.Status, r.Body)
		}
		o.revision = revision
		taken = append(taken, o)
		lost = append(lost, testChange{base: o.base, doc: w.Document(i + 5000)})
	}
	last := len(taken) - 1
	again := func(when string, mayForget bool) {
		t.Helper()
		for k, i := range []int{0, 1, 100, last - tuning.ChangesKept - 1, last - 1, last} {
			p := w.daemons(wire.ControlDaemon)[k%w.Plan.ControlDaemons]
			r, revision := w.sendConfiguration(t, p, taken[i])
			switch {
			case r.Status == 200 && revision == taken[i].revision:
			case r.Status == 504 && mayForget && i != last:
			default:
				t.Errorf("%s: change %d sent again: %d %s", when, i, r.Status, r.Body)
			}
			r, _ = w.sendConfiguration(t, p, lost[i])
			if r.Status != 412 && !(r.Status == 504 && mayForget && i != last) {
				t.Errorf("%s: the one that lost against change %d: %d %s", when, i, r.Status, r.Body)
			}
		}
	}
	again("at once", false)
	old := w.Leader()
	w.Kill(old)
	w.AwaitRecovery(10 * time.Second)
	w.Restart(old)
	w.Run(w.now + time.Second)
	again("under another leader", false)
	for _, p := range w.fleet() {
		w.Kill(p)
	}
	for _, p := range w.fleet() {
		w.Restart(p)
	}
	w.AwaitRecovery(10 * time.Second)
	again("after a restart of all", false)
	for _, p := range w.daemons(wire.ControlDaemon) {
		w.Kill(p)
		w.WipeDisk(p)
	}
	w.Run(w.now + 2*time.Second)
	for _, p := range w.daemons(wire.ControlDaemon) {
		w.Restart(p)
	}
	w.AwaitRecovery(15 * time.Second)
	again("after a loss of all disks", true)
	requireNoFailure(t, w)
}

// Orders under one id and without one, the same at several members at once, and other
// documents under the same number: one wins, its copies are all acknowledged as one
// change, the others lose. Nobody is told that a change is under way.
func TestEightOrdersAtOnce(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		w := Start(seed, Small)
		orders := []testChange{{base: 1, doc: w.Document(2)}, {base: 1, doc: w.Document(3), token: "third"}, {base: 1, doc: w.Document(4)}}
		type answer struct{ order, status, revision int }
		var got []answer
		for i := range 8 {
			k := i % len(orders)
			w.call(w.daemons(wire.ControlDaemon)[(i+int(seed))%w.Plan.ControlDaemons], "PUT", "/v1/config", "base=1", orders[k].doc, orders[k].token, func(r statemachine.Reply) {
				got = append(got, answer{k, r.Status, int(revisionOf(r))})
			})
			if seed%3 == 0 {
				w.Run(w.now + w.randomMilliseconds(0, 3))
			}
		}
		w.Run(w.now + 3*time.Second)
		if len(got) != 8 {
			t.Fatalf("seed %d: %d answers", seed, len(got))
		}
		winner := slices.IndexFunc(got, func(a answer) bool { return a.status == 200 })
		for _, a := range got {
			want := answer{a.order, 412, 0}
			if winner >= 0 && a.order == got[winner].order {
				want = answer{a.order, 200, 2}
			}
			if a != want {
				t.Errorf("seed %d: %+v", seed, got)
				break
			}
		}
		requireNoFailure(t, w)
	}
}

// An order for a domain that is sent again under its id, long after it was taken and
// undone, is acknowledged and changes nothing.
func TestOldDomainOrderSentAgain(t *testing.T) {
	t.Parallel()
	w := Start(22, Small)
	for i := range 3 * tuning.ChangesKept {
		for _, what := range []string{"empty", "restore"} {
			if r, _ := w.callAndWait(t, w.daemons(wire.ControlDaemon)[i%w.Plan.ControlDaemons], "POST", "/v1/domains/d1/"+what, "", "", fmt.Sprintf("%s%d", what, i)); r.Status != 200 {
				t.Fatalf("%s %d: %d %s", what, i, r.Status, r.Body)
			}
		}
	}
	if r, _ := w.callAndWait(t, w.Leader(), "POST", "/v1/domains/d1/empty", "", "", "empty0"); r.Status != 200 {
		t.Errorf("%d %s", r.Status, r.Body)
	}
	if _, m := w.callAndWait(t, w.Leader(), "GET", "/v1/domains", "", "", ""); len(m["emptied"].([]any)) > 0 {
		t.Errorf("emptied again: %v", m["emptied"])
	}
	requireNoFailure(t, w)
}

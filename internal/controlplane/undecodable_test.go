package controlplane

import (
	"encoding/json"
	"fmt"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// undecodableCases are agreed data that this member can't decode.
var undecodableCases = map[string]func(r *idleFleet){
	"entry no JSON":    func(r *idleFleet) { r.controller.node.Propose(r.now, []byte("{")) },
	"entry wrong type": func(r *idleFleet) { r.controller.node.Propose(r.now, []byte(`{"op":7}`)) },
	"entry compressed": func(r *idleFleet) { r.controller.node.Propose(r.now, []byte("\x28\xb5\x2f\xfd broken off")) },
	"snapshot": func(r *idleFleet) {
		r.controller.restoreSnapshot(&wire.Snapshot{Index: 900, Data: []byte(`{"seq":"x"}`)})
	},
	"configuration": func(r *idleFleet) {
		r.controller.propose(r.now, state.Command{Operation: state.OpConfigure, Base: r.controller.state.Revision, Document: json.RawMessage(`[]`)})
	},
}

// A leader that can't decode what was agreed reports damage and neither decides nor leads
// again in this epoch; it doesn't end, and its state remains the one before.
func TestUndecodableEndsLeading(t *testing.T) {
	for name, inject := range undecodableCases {
		t.Run(name, func(t *testing.T) {
			r := newIdleFleet(1, 1)
			table := r.controller.Table().Revision
			inject(r)
			for range 30 {
				r.runSecond()
			}
			status := r.controller.Status(r.now)
			if r.controller.Leading() || r.controller.HoldsLease(r.now) || status.Current || len(status.Damage) != 1 || r.controller.counts.DamageReports != 1 {
				t.Fatalf("leads %v, damage %v", r.controller.Leading(), status.Damage)
			}
			if !errors.Is(r.controller.undecodable, state.ErrDamaged) {
				t.Errorf("cause %v", r.controller.undecodable)
			}
			for i, a := range []statemachine.Call{{Method: "GET", Path: "/v1/config"}, {Method: "PUT", Path: "/v1/config", Body: []byte(`{}`)}} {
				a.ID, a.Token = uint64(i+1), fmt.Sprint("t", i)
				for _, cmd := range r.controller.Step(r.now, a) {
					if reply, ok := cmd.(statemachine.Reply); ok && reply.Status != 503 {
						t.Errorf("%s %s: %d %s", a.Method, a.Path, reply.Status, reply.Body)
					}
				}
			}
			if got := r.controller.Table().Revision; got != table {
				t.Errorf("a table of revision %d was made", got)
			}
			snap := r.controller.node.Snapshot().Index
			for i := range 10 {
				r.controller.apply(r.now, wire.Entry{Index: 1000 + uint64(i), Kind: consensus.EntryData, Data: state.EncodeCommand(state.Command{Operation: state.OpEmptyDomain, Name: "d"})})
			}
			if len(r.controller.state.EmptiedDomains) > 0 || r.controller.node.Snapshot().Index != snap {
				t.Error("entries after the one that did not decode are applied")
			}
		})
	}
}

// In a later epoch the member takes part again.
func TestUndecodableEndsWithItsEpoch(t *testing.T) {
	r := newIdleFleet(1, 1)
	undecodableCases["snapshot"](r)
	r.controller.joinEpoch(r.now, r.controller.node.Epoch()+1)
	if r.controller.undecodable != nil || r.controller.abstains() {
		t.Errorf("still refuses: %v", r.controller.undecodable)
	}
}

// cluster is a core of three members whose messages arrive at once.
type cluster struct {
	now     time.Duration
	members map[string]*Controller
	names   []string
	down    string // the member that is neither ticked nor reached
}

func newCluster() *cluster {
	k := &cluster{now: time.Second, members: map[string]*Controller{}, names: []string{"c1", "c2", "c3"}}
	for i, n := range k.names {
		self := wire.Daemon{Name: n, Kind: wire.ControlDaemon, Addr: n, Incarnation: 1}
		k.members[n] = New(k.now, Settings{Self: self, BootstrapSize: 3, Seeds: k.names}, consensus.PersistentState{Disk: uint64(i + 7)})
	}
	return k
}

func (k *cluster) step(name string, ev statemachine.Event) {
	if name == k.down {
		return
	}
	for _, cmd := range k.members[name].Step(k.now, ev) {
		switch c := cmd.(type) {
		case statemachine.Sync:
			k.step(name, statemachine.Synced{Seq: c.Batch.Seq})
		case statemachine.Send:
			if k.members[c.Addr] != nil {
				k.step(c.Addr, statemachine.Receive{Message: c.Message})
			}
		}
	}
}

func (k *cluster) seconds(n int) {
	for range n * int(time.Second/tuning.TickEvery) {
		k.now += tuning.TickEvery
		for _, n := range k.names {
			k.step(n, statemachine.Tick{})
		}
	}
}

func (k *cluster) leader() string {
	for _, n := range k.names {
		if n != k.down && k.members[n].HoldsLease(k.now) {
			return n
		}
	}
	return ""
}

// A leader that alone can't decode an entry hands over to a member that can, also when the
// third is down and its vote is needed.
func TestUndecodableLeaderHandsOver(t *testing.T) {
	for _, down := range []bool{false, true} {
		k := newCluster()
		k.seconds(15)
		was := k.leader()
		if was == "" {
			t.Fatal("no leader")
		}
		if down {
			k.down = k.names[0]
			if was == k.down {
				k.down = k.names[1]
			}
			k.seconds(1)
		}
		k.members[was].cannotDecode("entry 9", errors.New("damaged in memory"))
		k.seconds(10)
		if l := k.leader(); l == "" || l == was {
			t.Errorf("one down %v: %q leads after %s", down, l, was)
		}
	}
}

// Members none of which can decode an entry all go on running, without a leader that decides
// and without passing leadership around.
func TestUndecodableByAll(t *testing.T) {
	for name, data := range map[string][]byte{
		"entry":         []byte("{"),
		"configuration": state.EncodeCommand(state.Command{Operation: state.OpConfigure, RequestedRevision: 9, Document: json.RawMessage(`[]`)}),
	} {
		k := newCluster()
		k.seconds(15)
		k.members[k.leader()].node.Propose(k.now, data)
		k.seconds(10)
		term := k.members["c1"].Term()
		k.seconds(20)
		for _, n := range k.names {
			c := k.members[n]
			if c.Leading() || len(c.damage) != 1 || c.Term() != term {
				t.Errorf("%s: %s leads %v, damage %v, term %d after %d", name, n, c.Leading(), c.damage, c.Term(), term)
			}
		}
	}
}

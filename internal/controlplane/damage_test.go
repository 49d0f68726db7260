package controlplane

import (
	"encoding/json"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// refounded is a lone member at the beginning of epoch 2, told what proxies remember.
type refounded struct {
	idleFleet
	memories []state.RecoveredState
}

func newRefounded(memories ...state.RecoveredState) *refounded {
	self := wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1", Incarnation: 1}
	im := consensus.PersistentState{Disk: 7, Epoch: 2, Snapshot: wire.Snapshot{Index: 1, Members: []wire.Member{{Name: "c1", Disk: 7}}}}
	return &refounded{idleFleet{now: time.Second, controller: New(time.Second, Settings{Self: self, BootstrapSize: 1}, im)}, memories}
}

func (r *refounded) seconds(n int) {
	for range n {
		for _, m := range r.memories {
			b, _ := json.Marshal(m)
			g := wire.Daemon{Name: "g" + string(m.State[:1]), Kind: wire.ProxyDaemon, Addr: "g"}
			r.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHello, From: g.Name, Hello: &wire.Hello{Self: g, RecoveredState: b}}})
		}
		r.runSecond()
	}
}

func memory(seq, revision uint64) state.RecoveredState {
	s := state.New()
	s.Recovered, s.Revision, s.Index = true, revision, seq
	b, _ := json.Marshal(s)
	return state.RecoveredState{Epoch: 1, Term: 3, Index: seq, State: b}
}

// unreadable are memories that are JSON and no state, or one that can't be put in force.
var unreadable = map[string]string{
	"no state":             `{"seq":"ninety"}`,
	"not an object":        `[1,2]`,
	"a broken-off text":    `"{\"seq\":9"`,
	"a document of wrongs": `{"adopted":true,"seq":90,"revision":7,"doc":[]}`,
}

// The latest memory that can be read whole is the epoch's first state, and what could not be
// read is reported.
func TestNextBestMemoryIsAdopted(t *testing.T) {
	for name, text := range unreadable {
		r := newRefounded(memory(40, 4), state.RecoveredState{Epoch: 1, Term: 3, Index: 90, State: json.RawMessage(text)}, memory(50, 5))
		r.seconds(6)
		if !r.controller.Leading() || r.controller.state.Revision != 5 {
			t.Errorf("%s: leads %v with revision %d", name, r.controller.Leading(), r.controller.state.Revision)
		}
		if d := r.controller.Status(r.now).Damage; len(d) == 0 || len(d) > tuning.DamageReportsKept {
			t.Errorf("%s: %d findings of damage", name, len(d))
		}
	}
}

// An epoch does not begin with nothing while something unreadable is remembered, until an
// operator says so.
func TestNothingIsNotAdoptedForTheUnreadable(t *testing.T) {
	for name, text := range unreadable {
		r := newRefounded(state.RecoveredState{Epoch: 1, Term: 3, Index: 90, State: json.RawMessage(text)})
		r.seconds(20)
		if r.controller.Leading() || r.controller.state.Recovered || len(r.controller.Status(r.now).Damage) == 0 {
			t.Errorf("%s: leads %v, adopted %v, damage %v", name, r.controller.Leading(), r.controller.state.Recovered, r.controller.damage)
		}
		r.step(statemachine.Call{ID: 1, Method: "POST", Path: "/v1/core/refound"})
		if r.seconds(3); !r.controller.Leading() || r.controller.state.Revision != 0 {
			t.Errorf("%s: an operator's word did not count", name)
		}
	}
}

// An agreed first state that does not decode is not adopted, and another is offered.
func TestUndecodedAdoptionIsNone(t *testing.T) {
	s := state.New()
	s.Apply(9, state.Command{Operation: state.OpRecover, State: json.RawMessage(`{"seq":"ninety"}`)})
	if s.Recovered {
		t.Error("adopted")
	}
	r := newRefounded(memory(50, 5))
	for r.controller.leadership != Recovering {
		r.seconds(1)
	}
	r.controller.propose(r.now, state.Command{Operation: state.OpRecover, State: json.RawMessage(`{"seq":"ninety"}`)})
	r.seconds(6)
	if !r.controller.Leading() || r.controller.state.Revision != 5 || len(r.controller.damage) == 0 {
		t.Errorf("leads %v with revision %d, damage %v", r.controller.Leading(), r.controller.state.Revision, r.controller.damage)
	}
}

// What a disk holds is used whole or not at all.
func TestCheckImage(t *testing.T) {
	s := state.New()
	s.Recovered = true
	entry := func(i uint64, kind uint16, data []byte) wire.Entry {
		return wire.Entry{Index: i, Term: 1, Kind: kind, Data: data}
	}
	change := state.EncodeCommand(state.Command{Operation: state.OpEmptyDomain, Name: "d1", Token: "x"})
	long := state.EncodeCommand(state.Command{Operation: state.OpEmptyDomain, Name: strings.Repeat("d", 2*tuning.CompressFrom)})
	image := func(snap []byte, log ...wire.Entry) *consensus.PersistentState {
		return &consensus.PersistentState{Epoch: 1, Disk: 7, Snapshot: wire.Snapshot{Index: 1, Data: snap}, Log: log}
	}
	sound := state.Encode(&s)
	for name, im := range map[string]*consensus.PersistentState{
		"empty":   {Disk: 7},
		"founded": image(nil),
		"whole":   image(sound, entry(2, consensus.EntryNoop, nil), entry(3, consensus.EntryMembers, []byte("[]")), entry(4, consensus.EntryData, change), entry(5, consensus.EntryData, long)),
	} {
		if err := CheckImage(im); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, im := range map[string]*consensus.PersistentState{
		"snapshot":          image(sound[:len(sound)-1]),
		"entry":             image(sound, entry(2, consensus.EntryData, change[:len(change)-1])),
		"compressed entry":  image(sound, entry(2, consensus.EntryData, long[:len(long)-1])),
		"members":           image(sound, entry(2, consensus.EntryMembers, []byte("["))),
		"gap":               image(sound, entry(3, consensus.EntryData, change)),
		"gap between":       image(sound, entry(2, consensus.EntryNoop, nil), entry(4, consensus.EntryNoop, nil)),
		"undecoded epoch":   image(nil, entry(2, consensus.EntryData, state.EncodeCommand(state.Command{Operation: state.OpRecover, State: json.RawMessage(`7`)}))),
		"snapshot no state": image([]byte(`{"seq":"x"}`)),
	} {
		if err := CheckImage(im); !errors.Is(err, state.ErrDamaged) {
			t.Errorf("%s: %v", name, err)
		}
	}
	got, _, err := stateFromDisk(image(sound, entry(2, consensus.EntryData, change), entry(3, consensus.EntryData, []byte("{"))))
	if err == nil || got.Index != 2 || len(got.EmptiedDomains) != 1 {
		t.Errorf("before the damage there is %+v, %v", got, err)
	}
}

// Long entries and states take a fraction in the log, and are read again as they were.
func TestLongEntriesAreCompressed(t *testing.T) {
	o := state.Command{Operation: state.OpConfigure, Document: json.RawMessage(`{"services":{` + strings.Repeat(`"fares":{"attempts":3},`, 2000) + `"x":{}}}`)}
	b := state.EncodeCommand(o)
	if got, err := state.DecodeCommand(b); err != nil || string(got.Document) != string(o.Document) || 5*len(b) > len(o.Document) {
		t.Errorf("%v: %d bytes for %d", err, len(b), len(o.Document))
	}
	s := state.New()
	s.Document = o.Document
	b = state.Encode(&s)
	if got, err := state.Decode(b); err != nil || string(got.Document) != string(o.Document) || 5*len(b) > len(o.Document) {
		t.Errorf("%v: %d bytes for %d", err, len(b), len(o.Document))
	}
}

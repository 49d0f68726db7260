package controlplane

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// dataEntry is a log entry of term 1.
func dataEntry(index uint64, kind uint16, data []byte) wire.Entry {
	return wire.Entry{Index: index, Term: 1, Kind: kind, Data: data}
}

// imageOf is a disk with a snapshot at entry 1 and a log.
func imageOf(snapshot []byte, log ...wire.Entry) *consensus.PersistentState {
	return &consensus.PersistentState{Epoch: 1, Disk: 7, Snapshot: wire.Snapshot{Index: 1, Data: snapshot}, Log: log}
}

// What a disk holds is used completely or not at all.
func TestCheckImage(t *testing.T) {
	initial := state.New()
	initial.Recovered = true
	snapshot := state.Encode(&initial)
	change := state.EncodeCommand(state.Command{Operation: state.OpEmptyDomain, Name: "d1", Token: "x"})
	long := state.EncodeCommand(state.Command{Operation: state.OpEmptyDomain, Name: strings.Repeat("d", 2*tuning.CompressFrom)})
	undecodableEpoch := state.EncodeCommand(state.Command{Operation: state.OpRecover, State: json.RawMessage(`7`)})
	for _, c := range []struct {
		name      string
		image     *consensus.PersistentState
		isDamaged bool
	}{
		{"empty", &consensus.PersistentState{Disk: 7}, false},
		{"bootstrapped", imageOf(nil), false},
		{"complete", imageOf(snapshot, dataEntry(2, consensus.EntryNoop, nil), dataEntry(3, consensus.EntryMembers, []byte("[]")),
			dataEntry(4, consensus.EntryData, change), dataEntry(5, consensus.EntryData, long)), false},
		{"snapshot", imageOf(snapshot[:len(snapshot)-1]), true},
		{"entry", imageOf(snapshot, dataEntry(2, consensus.EntryData, change[:len(change)-1])), true},
		{"compressed entry", imageOf(snapshot, dataEntry(2, consensus.EntryData, long[:len(long)-1])), true},
		{"members", imageOf(snapshot, dataEntry(2, consensus.EntryMembers, []byte("["))), true},
		{"gap after the snapshot", imageOf(snapshot, dataEntry(3, consensus.EntryData, change)), true},
		{"gap in the log", imageOf(snapshot, dataEntry(2, consensus.EntryNoop, nil), dataEntry(4, consensus.EntryNoop, nil)), true},
		{"first state of the epoch", imageOf(nil, dataEntry(2, consensus.EntryData, undecodableEpoch)), true},
		{"snapshot that is no state", imageOf([]byte(`{"seq":"x"}`)), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := CheckImage(c.image)
			if c.isDamaged && !errors.Is(err, state.ErrDamaged) || !c.isDamaged && err != nil {
				t.Errorf("damaged %v, error %v", c.isDamaged, err)
			}
		})
	}
}

// A damaged disk leads to the state before the damage.
func TestStateBeforeTheDamage(t *testing.T) {
	initial := state.New()
	initial.Recovered = true
	change := state.EncodeCommand(state.Command{Operation: state.OpEmptyDomain, Name: "d1", Token: "x"})
	image := imageOf(state.Encode(&initial), dataEntry(2, consensus.EntryData, change), dataEntry(3, consensus.EntryData, []byte("{")))
	stored, _, err := stateFromDisk(image)
	if err == nil || stored.Index != 2 || len(stored.EmptiedDomains) != 1 {
		t.Errorf("before the damage there is %+v, %v", stored, err)
	}
}

// Long entries and states take a fraction in the log, and are decoded as they were.
func TestLongEntriesAreCompressed(t *testing.T) {
	document := json.RawMessage(`{"services":{` + strings.Repeat(`"fares":{"attempts":3},`, 2000) + `"x":{}}}`)
	entry := state.EncodeCommand(state.Command{Operation: state.OpConfigure, Document: document})
	if command, err := state.DecodeCommand(entry); err != nil || string(command.Document) != string(document) || 5*len(entry) > len(document) {
		t.Errorf("%v: %d bytes for %d", err, len(entry), len(document))
	}
	configured := state.New()
	configured.Document = document
	snapshot := state.Encode(&configured)
	if decoded, err := state.Decode(snapshot); err != nil || string(decoded.Document) != string(document) || 5*len(snapshot) > len(document) {
		t.Errorf("%v: %d bytes for %d", err, len(snapshot), len(document))
	}
}

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

// logEntry returns a log entry of term 1.
func logEntry(index uint64, kind uint16, data []byte) wire.Entry {
	return wire.Entry{Index: index, Term: 1, Kind: kind, Data: data}
}

// diskWith returns the contents of a disk with a snapshot at entry 1 and a log.
func diskWith(snapshot []byte, log ...wire.Entry) *consensus.PersistentState {
	return &consensus.PersistentState{Epoch: 1, Disk: 7, Snapshot: wire.Snapshot{Index: 1, Data: snapshot}, Log: log}
}

// CheckPersistentState accepts the contents of a disk only if all of it can be used: a member must not start from only a
// part of what it stored.
func TestCheckPersistentState(t *testing.T) {
	initial := state.New()
	initial.Recovered = true
	snapshot := state.Encode(&initial)
	change := state.EncodeCommand(state.Command{Operation: state.OpEmptyDomain, Name: "d1", Token: "x"})
	long := state.EncodeCommand(state.Command{Operation: state.OpEmptyDomain, Name: strings.Repeat("d", 2*tuning.CompressFrom)})
	undecodableEpoch := state.EncodeCommand(state.Command{Operation: state.OpRecover, State: json.RawMessage(`7`)})
	for _, c := range []struct {
		name            string
		persistentState *consensus.PersistentState
		isDamaged       bool
	}{
		{"empty", &consensus.PersistentState{Disk: 7}, false},
		{"bootstrapped", diskWith(nil), false},
		{"complete", diskWith(snapshot, logEntry(2, consensus.EntryNoop, nil), logEntry(3, consensus.EntryMembers, []byte("[]")),
			logEntry(4, consensus.EntryData, change), logEntry(5, consensus.EntryData, long)), false},
		{"snapshot", diskWith(snapshot[:len(snapshot)-1]), true},
		{"entry", diskWith(snapshot, logEntry(2, consensus.EntryData, change[:len(change)-1])), true},
		{"compressed entry", diskWith(snapshot, logEntry(2, consensus.EntryData, long[:len(long)-1])), true},
		{"members", diskWith(snapshot, logEntry(2, consensus.EntryMembers, []byte("["))), true},
		{"gap after the snapshot", diskWith(snapshot, logEntry(3, consensus.EntryData, change)), true},
		{"gap in the log", diskWith(snapshot, logEntry(2, consensus.EntryNoop, nil), logEntry(4, consensus.EntryNoop, nil)), true},
		{"first state of the epoch", diskWith(nil, logEntry(2, consensus.EntryData, undecodableEpoch)), true},
		{"snapshot that is no state", diskWith([]byte(`{"seq":"x"}`)), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := CheckPersistentState(c.persistentState)
			if c.isDamaged && !errors.Is(err, state.ErrDamaged) || !c.isDamaged && err != nil {
				t.Errorf("error %v; want an error marked ErrDamaged: %v", err, c.isDamaged)
			}
		})
	}
}

// If a log entry is damaged, stateFromDisk returns the state before it along with the error.
func TestStateFromDiskStopsBeforeDamage(t *testing.T) {
	initial := state.New()
	initial.Recovered = true
	change := state.EncodeCommand(state.Command{Operation: state.OpEmptyDomain, Name: "d1", Token: "x"})
	persistentState := diskWith(state.Encode(&initial), logEntry(2, consensus.EntryData, change), logEntry(3, consensus.EntryData, []byte("{")))
	stored, _, err := stateFromDisk(persistentState)
	if err == nil || stored.Index != 2 || len(stored.EmptiedDomains) != 1 {
		t.Errorf("state %+v, error %v; want the state after entry 2 and an error", stored, err)
	}
}

// Long entries and snapshots are stored in at most a fifth of their size, and decode to what was encoded.
func TestLongEntriesAreCompressed(t *testing.T) {
	document := json.RawMessage(`{"services":{` + strings.Repeat(`"fares":{"attempts":3},`, 2000) + `"x":{}}}`)
	entry := state.EncodeCommand(state.Command{Operation: state.OpConfigure, Document: document})
	if command, err := state.DecodeCommand(entry); err != nil || string(command.Document) != string(document) || 5*len(entry) > len(document) {
		t.Errorf("entry: error %v, or another document, or %d bytes, which is more than a fifth of the document's %d", err, len(entry), len(document))
	}
	configured := state.New()
	configured.Document = document
	snapshot := state.Encode(&configured)
	if decoded, err := state.Decode(snapshot); err != nil || string(decoded.Document) != string(document) || 5*len(snapshot) > len(document) {
		t.Errorf("snapshot: error %v, or another document, or %d bytes, which is more than a fifth of the document's %d", err, len(snapshot), len(document))
	}
}

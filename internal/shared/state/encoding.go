// This file is the form that the state and its log entries have in the log, in snapshots and on disk:
// JSON, compressed where it is long, so that disks, links and memory hold a fraction.

package state

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/wire"
)

// ErrDamaged marks a state, or an entry that leads to it, that can't be decoded completely.
var ErrDamaged = errors.New("agreed state damaged")

// EncodeCommand is the form of a command in a log entry.
func EncodeCommand(command Command) []byte {
	text, err := json.Marshal(command)
	if err != nil {
		panic(errors.Wrap(err, "log entry"))
	}
	return wire.Compress(text)
}

// DecodeCommand reads what EncodeCommand writes. Its errors are marked ErrDamaged.
func DecodeCommand(data []byte) (command Command, err error) {
	text, err := wire.Decompress(data)
	if err == nil {
		err = json.Unmarshal(text, &command)
	}
	return command, errors.Mark(err, ErrDamaged)
}

// Encode is the form of a state in a snapshot.
func Encode(s *State) []byte {
	text, err := json.Marshal(s)
	if err != nil {
		panic(errors.Wrap(err, "state"))
	}
	return wire.Compress(text)
}

// Decode reads what Encode writes; no data is the state before the first entry. Its errors are marked
// ErrDamaged, and come with that state.
func Decode(data []byte) (State, error) {
	s := New()
	if len(data) == 0 {
		return s, nil
	}
	text, err := wire.Decompress(data)
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	if err != nil {
		return New(), errors.Mark(err, ErrDamaged)
	}
	s.completeChanges()
	return s, nil
}

// DecodeRecovered reads a state of an earlier epoch. Since an epoch begins with it, its configuration
// too must be one that can be put in force. Its errors are marked ErrDamaged.
func DecodeRecovered(recovered RecoveredState) (State, error) {
	s, err := Decode(recovered.State)
	if err == nil && len(s.Document) > 0 {
		_, _, err = outlier.ParseConfig(s.Document)
	}
	return s, errors.Mark(err, ErrDamaged)
}

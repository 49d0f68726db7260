// This file is the form that the agreed state and its log entries have in the log, in
// snapshots and on disk: JSON, compressed where it is long, so that disks, links and
// memory hold a fraction. What does not decode is damage, and an error of that kind.

package state

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/wire"
)

// ErrDamaged marks a state, or an entry that leads to it, which can't be read whole.
var ErrDamaged = errors.New("agreed state damaged")

func EncodeCommand(o Command) []byte {
	b, err := json.Marshal(o)
	if err != nil {
		panic(errors.Wrap(err, "log entry"))
	}
	return wire.Compress(b)
}

func DecodeCommand(data []byte) (o Command, err error) {
	text, err := wire.Decompress(data)
	if err == nil {
		err = json.Unmarshal(text, &o)
	}
	return o, errors.Mark(err, ErrDamaged)
}

func Encode(s *State) []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(errors.Wrap(err, "state"))
	}
	return wire.Compress(b)
}

// Decode reads a state; no data is the state that nothing has changed yet.
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

// DecodeRecovered reads what somebody remembers of an earlier epoch, as far as an epoch's
// first state needs it: also its configuration must be one that can be put in force.
func DecodeRecovered(l RecoveredState) (State, error) {
	s, err := Decode(l.State)
	if err == nil && len(s.Document) > 0 {
		_, _, err = outlier.ParseConfig(s.Document)
	}
	return s, errors.Mark(err, ErrDamaged)
}

// This file is the form that the agreed state and its log entries have in the log, in
// snapshots and on disk: JSON, compressed where it is long, so that disks, links and
// memory hold a fraction. What does not decode is damage, and an error of that kind.

package controlplane

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/wire"
)

// ErrDamaged marks a state, or an entry that leads to it, which can't be read whole.
var ErrDamaged = errors.New("agreed state damaged")

func encodeCommand(o command) []byte {
	b, err := json.Marshal(o)
	if err != nil {
		panic(errors.Wrap(err, "log entry"))
	}
	return wire.Compress(b)
}

func decodeCommand(data []byte) (o command, err error) {
	text, err := wire.Decompress(data)
	if err == nil {
		err = json.Unmarshal(text, &o)
	}
	return o, errors.Mark(err, ErrDamaged)
}

func encodeState(s *State) []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(errors.Wrap(err, "state"))
	}
	return wire.Compress(b)
}

// decodeState reads a state; no data is the state that nothing has changed yet.
func decodeState(data []byte) (State, error) {
	s := newState()
	if len(data) == 0 {
		return s, nil
	}
	text, err := wire.Decompress(data)
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	if err != nil {
		return newState(), errors.Mark(err, ErrDamaged)
	}
	s.completeOrders()
	return s, nil
}

// decodeRecovered reads what somebody remembers of an earlier epoch, as far as an epoch's
// first state needs it: also its configuration must be one that can be put in force.
func decodeRecovered(l RecoveredState) (State, error) {
	s, err := decodeState(l.State)
	if err == nil && len(s.Doc) > 0 {
		_, _, err = outlier.CheckConfig(s.Doc)
	}
	return s, errors.Mark(err, ErrDamaged)
}

// CheckImage says what of an image from disk can't be used. A member whose image is damaged
// must not take part with it: it is one that lost its disk.
func CheckImage(im *consensus.Image) error {
	if err := consensus.CheckImage(im); err != nil {
		return errors.Mark(err, ErrDamaged)
	}
	_, _, err := stateFromDisk(im)
	return err
}

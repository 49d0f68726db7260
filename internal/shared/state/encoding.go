package state

// The state and its commands are encoded as JSON, which is compressed if it is long to save disk space, bandwidth and
// memory.

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/wire"
)

// ErrDamaged marks the error for a state or command that can't be decoded completely.
var ErrDamaged = errors.New("replicated state is damaged")

// EncodeCommand encodes a command for a log entry.
func EncodeCommand(command Command) []byte {
	text, err := json.Marshal(command)
	if err != nil {
		panic(errors.Wrap(err, "encode command"))
	}
	return wire.Compress(text)
}

// DecodeCommand decodes the output of EncodeCommand. Its errors are marked ErrDamaged.
func DecodeCommand(data []byte) (command Command, err error) {
	text, err := wire.Decompress(data)
	if err == nil {
		err = json.Unmarshal(text, &command)
	}
	return command, errors.Mark(err, ErrDamaged)
}

// Encode encodes a state for a snapshot.
func Encode(s *State) []byte {
	text, err := json.Marshal(s)
	if err != nil {
		panic(errors.Wrap(err, "encode state"))
	}
	return wire.Compress(text)
}

// Decode decodes the output of Encode. Empty data gives the state before the first log entry. On an error,
// which is marked ErrDamaged, Decode returns that state too.
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
	s.initCompleteSince()
	return s, nil
}

// DecodeRecovered decodes a state of an earlier epoch. A new epoch begins with this state, so its configuration
// must parse too. Its errors are marked ErrDamaged.
func DecodeRecovered(recovered RecoveredState) (State, error) {
	s, err := Decode(recovered.State)
	if err == nil && len(s.Document) > 0 {
		_, _, err = outlier.ParseConfig(s.Document)
	}
	return s, errors.Mark(err, ErrDamaged)
}

// This file keeps which changes have been accepted, apart from their texts, so that a
// change that is sent again long after it was accepted is known.

package state

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
)

// ChangeDigest stands for an order: the same order has the same digest.
type ChangeDigest [16]byte

// MarshalText is the form in the log.
func (d ChangeDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText reads the form that MarshalText writes.
func (d *ChangeDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return errors.Newf("an order's digest has %d characters", len(text))
	}
	_, err := hex.Decode(d[:], text)
	return errors.Wrap(err, "an order's digest")
}

// DigestOf is the digest of an order's parts.
func DigestOf(parts ...[]byte) (d ChangeDigest) {
	h := sha256.New()
	for _, part := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	copy(d[:], h.Sum(nil))
	return d
}

// acceptedChange is an order that was accepted, and the revision that it led to.
type acceptedChange struct {
	digest   ChangeDigest
	revision uint64
}

// acceptedChangeBytes is what one takes in the agreed state: its digest and its revision.
const acceptedChangeBytes = 16 + 8

// acceptedChanges are the latest accepted orders, the oldest first. The list is never
// changed in place, since a state is copied by value.
type acceptedChanges []acceptedChange

func (l acceptedChanges) find(d ChangeDigest) (revision uint64, found bool) {
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].digest == d {
			return l[i].revision, true
		}
	}
	return 0, false
}

// with is the list with one more order.
func (l acceptedChanges) with(o acceptedChange) acceptedChanges {
	return append(slices.Clip(l), o)
}

// latest is the list cut to its newest orders, and the revision of the last one cut off,
// 0 if none is.
func (l acceptedChanges) latest(most int) (kept acceptedChanges, cutAt uint64) {
	n := len(l) - most
	if n <= 0 {
		return l, 0
	}
	return l[n:], l[n-1].revision
}

// MarshalText is the form in snapshots: fixed-size records in base64.
func (l acceptedChanges) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, len(l)*acceptedChangeBytes)
	for _, o := range l {
		raw = append(raw, o.digest[:]...)
		raw = binary.BigEndian.AppendUint64(raw, o.revision)
	}
	return base64.StdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText reads the form that MarshalText writes, and refuses any other length.
func (l *acceptedChanges) UnmarshalText(text []byte) error {
	raw, err := base64.StdEncoding.AppendDecode(nil, bytes.TrimSpace(text))
	if err != nil {
		return errors.Wrap(err, "orders taken")
	}
	if len(raw)%acceptedChangeBytes != 0 {
		return errors.Newf("orders taken: %d bytes are no whole number of records", len(raw))
	}
	*l = make(acceptedChanges, len(raw)/acceptedChangeBytes)
	for i := range *l {
		record := raw[i*acceptedChangeBytes:]
		copy((*l)[i].digest[:], record)
		(*l)[i].revision = binary.BigEndian.Uint64(record[16:])
	}
	return nil
}

// AcceptedChanges is what the agreed state remembers of accepted orders.
type AcceptedChanges struct {
	// Configurations are the changes of the configuration by kind, base and text.
	Configurations acceptedChanges `json:"configurations,omitempty"`
	// Tokens are all other orders, by the id that their caller gave them.
	Tokens acceptedChanges `json:"tokens,omitempty"`
	// CompleteSince is the earliest revision from which on every accepted change is among
	// Configurations. Of an order that was built on an earlier one nobody can say any
	// more whether it was taken.
	CompleteSince uint64 `json:"since,omitempty"`
}

// addConfiguration remembers an accepted change of the configuration.
func (m *AcceptedChanges) addConfiguration(d ChangeDigest, revision uint64) {
	m.Configurations = m.Configurations.with(acceptedChange{d, revision})
	*m = m.latest(tuning.AcceptedChangesKept)
}

// addToken remembers any other accepted order.
func (m *AcceptedChanges) addToken(token string, revision uint64) {
	m.Tokens = m.Tokens.with(acceptedChange{tokenDigest(token), revision})
	*m = m.latest(tuning.AcceptedChangesKept)
}

// latest is the memory cut to its newest orders.
func (m AcceptedChanges) latest(most int) AcceptedChanges {
	var cutAt uint64
	m.Configurations, cutAt = m.Configurations.latest(most)
	m.CompleteSince = max(m.CompleteSince, cutAt)
	m.Tokens, _ = m.Tokens.latest(most)
	return m
}

func tokenDigest(token string) ChangeDigest { return DigestOf([]byte(token)) }

// FindToken says whether an order other than a change of the configuration was taken
// under an id, and at which revision.
func (s *State) FindToken(token string) (revision uint64, taken bool) {
	if token == "" {
		return 0, false
	}
	return s.Changes.Tokens.find(tokenDigest(token))
}

// ChangeStatus is what can be said of an order that is not built on the present revision.
type ChangeStatus int

const (
	NeverAccepted ChangeStatus = iota // and never will be: its base is not the present revision
	AlreadyAccepted
	Forgotten // it may have been taken before the first that is remembered
)

// FindChange says what became of a change of the configuration that was built on an
// earlier revision, and the revision that it led to if it was taken.
func (s *State) FindChange(d ChangeDigest, base uint64) (ChangeStatus, uint64) {
	if revision, found := s.Changes.Configurations.find(d); found {
		return AlreadyAccepted, revision
	}
	if base < s.Changes.CompleteSince {
		return Forgotten, 0
	}
	return NeverAccepted, 0
}

// completeChanges sets the bound of the memory in a state that was written before there was one.
func (s *State) completeChanges() {
	if len(s.Changes.Configurations) == 0 && s.Changes.CompleteSince < s.Revision {
		s.Changes.CompleteSince = s.Revision
	}
}

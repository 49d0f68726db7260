// This file keeps which changes were accepted, apart from their texts, so that a change that is
// repeated long after it was accepted is recognized.

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

// ChangeDigest stands for a change: the first bytes of a SHA-256 of what was asked for.
type ChangeDigest [16]byte

// MarshalText is the form in the log: hexadecimal.
func (d ChangeDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText reads the form that MarshalText writes, and rejects any other length.
func (d *ChangeDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return errors.Newf("an order's digest has %d characters", len(text))
	}
	_, err := hex.Decode(d[:], text)
	return errors.Wrap(err, "an order's digest")
}

// DigestOf is the digest of a change's parts. Each counts with its length, so that other parts with
// the same concatenation have another digest.
func DigestOf(parts ...[]byte) (digest ChangeDigest) {
	sum := sha256.New()
	for _, part := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		sum.Write(size[:])
		sum.Write(part)
	}
	copy(digest[:], sum.Sum(nil))
	return digest
}

func digestOfToken(token string) ChangeDigest { return DigestOf([]byte(token)) }

// acceptedChange is a change that was accepted, and the revision that it led to.
type acceptedChange struct {
	digest   ChangeDigest
	revision uint64
}

// Sizes of an acceptedChange in the encoded state, in bytes.
const (
	digestBytes         = len(ChangeDigest{})
	acceptedChangeBytes = digestBytes + 8 // with the revision
)

// acceptedChanges are the latest accepted changes, the oldest first. The list is never changed in
// place, since a state is copied by value.
type acceptedChanges []acceptedChange

func (l acceptedChanges) find(digest ChangeDigest) (revision uint64, found bool) {
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].digest == digest {
			return l[i].revision, true
		}
	}
	return 0, false
}

// with is the list with one more change.
func (l acceptedChanges) with(change acceptedChange) acceptedChanges {
	return append(slices.Clip(l), change)
}

// latest is the list without its oldest changes, at most so many, and the revision of the last one
// left out, 0 if none is.
func (l acceptedChanges) latest(most int) (kept acceptedChanges, leftOut uint64) {
	n := len(l) - most
	if n <= 0 {
		return l, 0
	}
	return l[n:], l[n-1].revision
}

// MarshalText is the form in snapshots: fixed-size records in base64.
func (l acceptedChanges) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, len(l)*acceptedChangeBytes)
	for _, change := range l {
		raw = append(raw, change.digest[:]...)
		raw = binary.BigEndian.AppendUint64(raw, change.revision)
	}
	return base64.StdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText reads the form that MarshalText writes, and rejects any other length.
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
		(*l)[i].revision = binary.BigEndian.Uint64(record[digestBytes:])
	}
	return nil
}

// AcceptedChanges says which changes were accepted, of each kind the latest tuning.AcceptedChangesKept.
type AcceptedChanges struct {
	// Configurations are the changes of the configuration, by kind, base and text.
	Configurations acceptedChanges `json:"configurations,omitempty"`
	// Tokens are all other changes, by the operator's token.
	Tokens acceptedChanges `json:"tokens,omitempty"`
	// CompleteSince is the earliest revision from which on every accepted change is among
	// Configurations. Whether a change that was built on an earlier one was accepted is unknown.
	CompleteSince uint64 `json:"since,omitempty"`
}

// addConfiguration adds an accepted change of the configuration.
func (a *AcceptedChanges) addConfiguration(digest ChangeDigest, revision uint64) {
	a.Configurations = a.Configurations.with(acceptedChange{digest, revision})
	*a = a.latest(tuning.AcceptedChangesKept)
}

// addToken adds any other accepted change.
func (a *AcceptedChanges) addToken(token string, revision uint64) {
	a.Tokens = a.Tokens.with(acceptedChange{digestOfToken(token), revision})
	*a = a.latest(tuning.AcceptedChangesKept)
}

// latest leaves out the oldest changes, so that of each kind there are at most so many.
func (a AcceptedChanges) latest(most int) AcceptedChanges {
	var leftOut uint64
	a.Configurations, leftOut = a.Configurations.latest(most)
	a.CompleteSince = max(a.CompleteSince, leftOut)
	a.Tokens, _ = a.Tokens.latest(most)
	return a
}

// FindToken says whether a change other than one of the configuration was accepted under a token, and
// at which revision.
func (s *State) FindToken(token string) (revision uint64, accepted bool) {
	if token == "" {
		return 0, false
	}
	return s.Changes.Tokens.find(digestOfToken(token))
}

// ChangeStatus says whether a change that is not built on the present revision was accepted.
type ChangeStatus int

// What can be known of a change.
const (
	NeverAccepted   ChangeStatus = iota // and never will be: its base is not the present revision
	AlreadyAccepted                     // it led to a revision
	Forgotten                           // its base is before all that is kept, so it may have been accepted
)

// FindChange says what became of a change of the configuration that was built on an earlier revision,
// and the revision that it led to if it was accepted.
func (s *State) FindChange(digest ChangeDigest, base uint64) (ChangeStatus, uint64) {
	if revision, found := s.Changes.Configurations.find(digest); found {
		return AlreadyAccepted, revision
	}
	if base < s.Changes.CompleteSince {
		return Forgotten, 0
	}
	return NeverAccepted, 0
}

// completeChanges sets the bound in a state that was written before accepted changes were kept: nothing
// is known of the changes that led to its revision.
func (s *State) completeChanges() {
	if len(s.Changes.Configurations) == 0 && s.Changes.CompleteSince < s.Revision {
		s.Changes.CompleteSince = s.Revision
	}
}

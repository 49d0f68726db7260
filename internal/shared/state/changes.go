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

// ChangeDigest identifies a change by its content: the first 16 bytes of a SHA-256 hash of the request.
type ChangeDigest [16]byte

// MarshalText encodes the digest in hexadecimal, as stored in the log.
func (d ChangeDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText decodes the output of MarshalText. It rejects text of any other length.
func (d *ChangeDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return errors.Newf("change digest has %d characters", len(text))
	}
	_, err := hex.Decode(d[:], text)
	return errors.Wrap(err, "decode change digest")
}

// DigestOf returns the digest of the parts of a change. Each part is prefixed with its length, so that
// different parts with the same concatenation have different digests.
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

// acceptedChange is the digest of an accepted change and the revision that it led to.
type acceptedChange struct {
	digest   ChangeDigest
	revision uint64
}

// Sizes of an acceptedChange in the encoded state, in bytes.
const (
	digestBytes         = len(ChangeDigest{})
	acceptedChangeBytes = digestBytes + 8 // digest and revision
)

// acceptedChanges is a list of the latest accepted changes, the oldest first. It is never modified in place,
// since copies of a State share it.
type acceptedChanges []acceptedChange

func (l acceptedChanges) find(digest ChangeDigest) (revision uint64, found bool) {
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].digest == digest {
			return l[i].revision, true
		}
	}
	return 0, false
}

// with returns the list with one more change. The receiver is not modified.
func (l acceptedChanges) with(change acceptedChange) acceptedChanges {
	return append(slices.Clip(l), change)
}

// latest returns the latest changes, at most limit of them, and the revision of the latest change that it omits, 0 if
// it omits none.
func (l acceptedChanges) latest(limit int) (kept acceptedChanges, omitted uint64) {
	n := len(l) - limit
	if n <= 0 {
		return l, 0
	}
	return l[n:], l[n-1].revision
}

// MarshalText encodes the list as fixed-size records in base64, as stored in snapshots.
func (l acceptedChanges) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, len(l)*acceptedChangeBytes)
	for _, change := range l {
		raw = append(raw, change.digest[:]...)
		raw = binary.BigEndian.AppendUint64(raw, change.revision)
	}
	return base64.StdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText decodes the output of MarshalText. It rejects data that is not a whole number of records.
func (l *acceptedChanges) UnmarshalText(text []byte) error {
	raw, err := base64.StdEncoding.AppendDecode(nil, bytes.TrimSpace(text))
	if err != nil {
		return errors.Wrap(err, "decode accepted changes")
	}
	if len(raw)%acceptedChangeBytes != 0 {
		return errors.Newf("accepted changes: %d bytes are not a whole number of records", len(raw))
	}
	*l = make(acceptedChanges, len(raw)/acceptedChangeBytes)
	for i := range *l {
		record := raw[i*acceptedChangeBytes:]
		copy((*l)[i].digest[:], record)
		(*l)[i].revision = binary.BigEndian.Uint64(record[digestBytes:])
	}
	return nil
}

// AcceptedChanges holds the digests of the latest accepted changes, at most tuning.AcceptedChangesKept of each kind. They
// identify a change that is sent again long after it was accepted, when its record is no longer kept.
type AcceptedChanges struct {
	// Configurations are changes of the configuration. Their digests cover kind, base and text of the change.
	Configurations acceptedChanges `json:"configurations,omitempty"`
	// Tokens are all other changes. Their digests cover the operator's token.
	Tokens acceptedChanges `json:"tokens,omitempty"`
	// CompleteSince is the earliest base revision for which Configurations is complete: every accepted change
	// with this base or a later one is in it. Whether a change with an earlier base was accepted is unknown.
	CompleteSince uint64 `json:"since,omitempty"`
}

// addConfiguration records an accepted change of the configuration.
func (a *AcceptedChanges) addConfiguration(digest ChangeDigest, revision uint64) {
	a.Configurations = a.Configurations.with(acceptedChange{digest, revision})
	*a = a.latest(tuning.AcceptedChangesKept)
}

// addToken records any other accepted change by its token.
func (a *AcceptedChanges) addToken(token string, revision uint64) {
	a.Tokens = a.Tokens.with(acceptedChange{digestOfToken(token), revision})
	*a = a.latest(tuning.AcceptedChangesKept)
}

// latest returns the latest changes of each kind, at most limit of them, with CompleteSince raised to match.
func (a AcceptedChanges) latest(limit int) AcceptedChanges {
	var omitted uint64
	a.Configurations, omitted = a.Configurations.latest(limit)
	a.CompleteSince = max(a.CompleteSince, omitted)
	a.Tokens, _ = a.Tokens.latest(limit)
	return a
}

// FindToken reports whether a change of another kind than OpConfigure was accepted under this token, and at
// which revision.
func (s *State) FindToken(token string) (revision uint64, accepted bool) {
	if token == "" {
		return 0, false
	}
	return s.Changes.Tokens.find(digestOfToken(token))
}

// ChangeStatus is what is known of a configuration change whose base is not the current revision.
type ChangeStatus int

// Statuses of a configuration change.
const (
	NeverAccepted   ChangeStatus = iota // not accepted, and never will be, since its base is outdated
	AlreadyAccepted                     // accepted earlier
	StatusUnknown                       // unknown: its base is older than AcceptedChanges.CompleteSince
)

// FindChange returns the status of a configuration change with an earlier base and, if it was accepted, the
// revision that it led to.
func (s *State) FindChange(digest ChangeDigest, base uint64) (ChangeStatus, uint64) {
	if revision, found := s.Changes.Configurations.find(digest); found {
		return AlreadyAccepted, revision
	}
	if base < s.Changes.CompleteSince {
		return StatusUnknown, 0
	}
	return NeverAccepted, 0
}

// initCompleteSince sets Changes.CompleteSince in a state that was stored by a version that did not keep accepted
// changes: nothing is known of the changes that led to its revision.
func (s *State) initCompleteSince() {
	if len(s.Changes.Configurations) == 0 && s.Changes.CompleteSince < s.Revision {
		s.Changes.CompleteSince = s.Revision
	}
}

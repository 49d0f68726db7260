// This file keeps which orders have been taken, apart from their texts, so that an
// order that is sent again long after it was taken is known.

package controlplane

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

// orderDigest stands for an order: the same order has the same digest.
type orderDigest [16]byte

// MarshalText is the form in the log.
func (d orderDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText reads the form that MarshalText writes.
func (d *orderDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return errors.Newf("an order's digest has %d characters", len(text))
	}
	_, err := hex.Decode(d[:], text)
	return errors.Wrap(err, "an order's digest")
}

// digestOf is the digest of an order's parts.
func digestOf(parts ...[]byte) (d orderDigest) {
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

// takenOrder is an order that was accepted, and the revision that it led to.
type takenOrder struct {
	digest   orderDigest
	revision uint64
}

// takenOrderBytes is what one takes in the agreed state: its digest and its revision.
const takenOrderBytes = 16 + 8

// takenOrders are the latest accepted orders, the oldest first. The list is never
// changed in place, since a state is copied by value.
type takenOrders []takenOrder

func (l takenOrders) find(d orderDigest) (revision uint64, found bool) {
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].digest == d {
			return l[i].revision, true
		}
	}
	return 0, false
}

// with is the list with one more order.
func (l takenOrders) with(o takenOrder) takenOrders {
	return append(slices.Clip(l), o)
}

// latest is the list cut to its newest orders, and the revision of the last one cut off,
// 0 if none is.
func (l takenOrders) latest(most int) (kept takenOrders, cutAt uint64) {
	n := len(l) - most
	if n <= 0 {
		return l, 0
	}
	return l[n:], l[n-1].revision
}

// MarshalText is the form in snapshots: fixed-size records in base64.
func (l takenOrders) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, len(l)*takenOrderBytes)
	for _, o := range l {
		raw = append(raw, o.digest[:]...)
		raw = binary.BigEndian.AppendUint64(raw, o.revision)
	}
	return base64.StdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText reads the form that MarshalText writes, and refuses any other length.
func (l *takenOrders) UnmarshalText(text []byte) error {
	raw, err := base64.StdEncoding.AppendDecode(nil, bytes.TrimSpace(text))
	if err != nil {
		return errors.Wrap(err, "orders taken")
	}
	if len(raw)%takenOrderBytes != 0 {
		return errors.Newf("orders taken: %d bytes are no whole number of records", len(raw))
	}
	*l = make(takenOrders, len(raw)/takenOrderBytes)
	for i := range *l {
		record := raw[i*takenOrderBytes:]
		copy((*l)[i].digest[:], record)
		(*l)[i].revision = binary.BigEndian.Uint64(record[16:])
	}
	return nil
}

// orderMemory is what the agreed state remembers of accepted orders.
type orderMemory struct {
	// Configurations are the changes of the configuration by kind, base and text.
	Configurations takenOrders `json:"configurations,omitempty"`
	// Tokens are all other orders, by the id that their caller gave them.
	Tokens takenOrders `json:"tokens,omitempty"`
	// Since is the earliest revision from which on every accepted change is among
	// Configurations. Of an order that was built on an earlier one nobody can say any
	// more whether it was taken.
	Since uint64 `json:"since,omitempty"`
}

// addConfiguration remembers an accepted change of the configuration.
func (m *orderMemory) addConfiguration(d orderDigest, revision uint64) {
	m.Configurations = m.Configurations.with(takenOrder{d, revision})
	*m = m.latest(tuning.OrdersRemembered)
}

// addToken remembers any other accepted order.
func (m *orderMemory) addToken(token string, revision uint64) {
	m.Tokens = m.Tokens.with(takenOrder{tokenDigest(token), revision})
	*m = m.latest(tuning.OrdersRemembered)
}

// latest is the memory cut to its newest orders.
func (m orderMemory) latest(most int) orderMemory {
	var cutAt uint64
	m.Configurations, cutAt = m.Configurations.latest(most)
	m.Since = max(m.Since, cutAt)
	m.Tokens, _ = m.Tokens.latest(most)
	return m
}

func tokenDigest(token string) orderDigest { return digestOf([]byte(token)) }

// tokenTaken says whether an order other than a change of the configuration was taken
// under an id, and at which revision.
func (s *State) tokenTaken(token string) (revision uint64, taken bool) {
	if token == "" {
		return 0, false
	}
	return s.Orders.Tokens.find(tokenDigest(token))
}

// orderVerdict is what can be said of an order that is not built on the present revision.
type orderVerdict int

const (
	orderNeverTaken orderVerdict = iota // and never will be: its base is not the present revision
	orderTaken
	orderForgotten // it may have been taken before the first that is remembered
)

// judgeOrder says what became of a change of the configuration that was built on an
// earlier revision, and the revision that it led to if it was taken.
func (s *State) judgeOrder(d orderDigest, base uint64) (orderVerdict, uint64) {
	if revision, found := s.Orders.Configurations.find(d); found {
		return orderTaken, revision
	}
	if base < s.Orders.Since {
		return orderForgotten, 0
	}
	return orderNeverTaken, 0
}

// completeOrders sets the bound of the memory in a state that was written before there was one.
func (s *State) completeOrders() {
	if len(s.Orders.Configurations) == 0 && s.Orders.Since < s.Revision {
		s.Orders.Since = s.Revision
	}
}

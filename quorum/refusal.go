// This file refuses messages that no sound member can have sent, before any of what
// they say is taken in: from outside nothing may make a node panic, believe in a list
// of members that can't be read, or go back on what is agreed.

package quorum

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"myrtlefold/wire"
)

// ErrMalformed marks a message that contradicts itself, ErrContradiction one that
// contradicts what is agreed here: two leaders, or damage somewhere.
var (
	ErrMalformed     = errors.New("malformed message")
	ErrContradiction = errors.New("message contradicts what is agreed")
)

// Refusal is a message that was dropped whole, and why. It belongs in the log.
type Refusal struct {
	From string
	Err  error
}

// numberMax bounds terms and indexes, so that what is counted on from them stays a number:
// at a million a second they take 146,000 years.
const numberMax = 1 << 62

func malformed(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrMalformed)
}

// acceptable says whether a vote or append message may be looked at, and why not.
func (n *Node) acceptable(m *wire.Msg) error {
	if m.Term >= numberMax {
		return malformed("term %d", m.Term)
	}
	a := m.Append
	if a == nil {
		return nil
	}
	if a.PrevIndex >= numberMax || a.Match >= numberMax || a.Commit >= numberMax {
		return malformed("log position %d, %d or %d", a.PrevIndex, a.Match, a.Commit)
	}
	if a.Snap != nil {
		if err := acceptableSnap(a.Snap, m.Term); err != nil {
			return err
		}
	}
	if err := acceptableEntries(a.Entries, a.PrevIndex, a.PrevTerm, m.Term); err != nil {
		return err
	}
	return n.keepsAgreed(a.Entries)
}

func acceptableSnap(s *wire.Snap, term uint64) error {
	if s.Index == 0 || s.Index >= numberMax || s.Term > term {
		return malformed("snapshot at %d of term %d in term %d", s.Index, s.Term, term)
	}
	return acceptableMembers(s.Members)
}

// keepsAgreed wants entries to leave alone what is agreed.
func (n *Node) keepsAgreed(entries []wire.Entry) error {
	for _, e := range entries {
		if t, ok := n.termAt(e.Index); ok && e.Index <= n.commit && t != e.Term {
			return errors.Mark(errors.Newf("agreed entry %d of term %d would be overwritten by one of term %d", e.Index, t, e.Term), ErrContradiction)
		}
	}
	return nil
}

// acceptableEntries wants entries that follow each other and the one before them, of
// terms up to the present one.
func acceptableEntries(entries []wire.Entry, prevIndex, prevTerm, term uint64) error {
	before := prevTerm
	for i, e := range entries {
		if e.Index != prevIndex+1+uint64(i) || e.Term < before || e.Term > term {
			return malformed("entry %d of term %d at place %d after %d of term %d", e.Index, e.Term, i, prevIndex, prevTerm)
		}
		before = e.Term
		if e.Kind != EntryMembers {
			continue
		}
		var ms []wire.Member
		if err := json.Unmarshal(e.Data, &ms); err != nil {
			return errors.Mark(errors.Wrapf(err, "members entry %d", e.Index), ErrMalformed)
		}
		if err := acceptableMembers(ms); err != nil {
			return err
		}
	}
	return nil
}

// acceptableMembers wants a list with somebody in it and nobody twice.
func acceptableMembers(ms []wire.Member) error {
	seen := map[string]bool{}
	for _, m := range ms {
		if m.Name == "" || seen[m.Name] {
			return malformed("member %q is listed without a name or twice", m.Name)
		}
		seen[m.Name] = true
	}
	if len(ms) == 0 {
		return malformed("a list of no members")
	}
	return nil
}

// Check says whether a node can start from an image: one that no node wrote is damage.
func (im *Image) Check() error {
	if im.Term >= numberMax || im.Snap.Index >= numberMax || im.Snap.Term > im.Term {
		return malformed("image with term %d and a snapshot at %d of term %d", im.Term, im.Snap.Index, im.Snap.Term)
	}
	if im.Snap.Index > 0 {
		if err := acceptableMembers(im.Snap.Members); err != nil {
			return err
		}
	}
	return acceptableEntries(im.Log, im.Snap.Index, im.Snap.Term, im.Term)
}

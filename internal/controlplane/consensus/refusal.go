// This file refuses messages that no sound member can have sent, before any of what
// they say is taken in: from outside nothing may make a node panic, believe in a list
// of members that can't be read, or go back on what is agreed.

package consensus

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/wire"
)

// ErrMalformed marks a message that contradicts itself, ErrContradiction one that
// contradicts what is agreed here: two leaders, or damage somewhere.
var (
	ErrMalformed      = errors.New("malformed message")
	ErrCommitConflict = errors.New("message contradicts what is agreed")
)

// Rejection is a message that was dropped whole, and why. It belongs in the log.
type Rejection struct {
	From string
	Err  error
}

// maxNumber bounds terms and indexes, so that what is counted on from them stays a number:
// at a million a second they take 146,000 years.
const maxNumber = 1 << 62

func malformed(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrMalformed)
}

// validate says whether a vote or append message may be looked at, and why not.
func (n *Node) validate(m *wire.Message) error {
	if m.Term >= maxNumber {
		return malformed("term %d", m.Term)
	}
	a := m.Append
	if a == nil {
		return nil
	}
	if a.PrevIndex >= maxNumber || a.MatchIndex >= maxNumber || a.Commit >= maxNumber {
		return malformed("log position %d, %d or %d", a.PrevIndex, a.MatchIndex, a.Commit)
	}
	if a.Chunk != nil && !a.Reply {
		if err := n.validateChunk(a, m.Term); err != nil {
			return err
		}
	}
	if err := validateEntries(a.Entries, a.PrevIndex, a.PrevTerm, m.Term); err != nil {
		return err
	}
	return n.validateCommitted(a.Entries)
}

// validateChunk wants a piece of what a leader of the term can hold. An entry in pieces
// is the one after PrevIndex; no list of members is so long.
func (n *Node) validateChunk(a *wire.Append, term uint64) error {
	p := a.Chunk
	if p.Index == 0 || p.Index >= maxNumber || p.Term > term {
		return malformed("piece of %d of term %d in term %d", p.Index, p.Term, term)
	}
	if !p.IsEntry {
		return validateMembers(p.Members)
	}
	if p.Index != a.PrevIndex+1 || p.Term < a.PrevTerm || p.Kind == EntryMembers || len(a.Entries) > 0 {
		return malformed("piece of entry %d of kind %d after %d with %d others", p.Index, p.Kind, a.PrevIndex, len(a.Entries))
	}
	return n.validateCommitted([]wire.Entry{{Index: p.Index, Term: p.Term}})
}

// validateCommitted wants entries to leave alone what is agreed.
func (n *Node) validateCommitted(entries []wire.Entry) error {
	for _, e := range entries {
		if t, ok := n.termAt(e.Index); ok && e.Index <= n.commit && t != e.Term {
			return errors.Mark(errors.Newf("agreed entry %d of term %d would be overwritten by one of term %d", e.Index, t, e.Term), ErrCommitConflict)
		}
	}
	return nil
}

// validateEntries wants entries that follow each other and the one before them, of
// terms up to the present one.
func validateEntries(entries []wire.Entry, prevIndex, prevTerm, term uint64) error {
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
		if err := validateMembers(ms); err != nil {
			return err
		}
	}
	return nil
}

// validateMembers wants a list with somebody in it and nobody twice.
func validateMembers(ms []wire.Member) error {
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

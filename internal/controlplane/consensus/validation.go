// This file rejects messages that no correct member can have sent, before anything in them is taken in: from outside
// nothing may make a node panic, take over a member list that can't be read, or overwrite what is committed.

package consensus

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/wire"
)

var (
	// ErrMalformed marks a message that contradicts itself.
	ErrMalformed = errors.New("malformed message")
	// ErrCommitConflict marks a message that contradicts what is committed here: there are two leaders of a term, or
	// somebody's data is damaged.
	ErrCommitConflict = errors.New("message contradicts committed entries")
)

// Rejection is a message that was dropped as a whole, and why. Its error is marked ErrMalformed or ErrCommitConflict.
type Rejection struct {
	From string
	Err  error
}

// maxNumber bounds terms and indexes, so that adding to them can't overflow: at a million a second they last 146,000
// years.
const maxNumber = 1 << 62

func malformed(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrMalformed)
}

// validate checks a vote or append message.
func (n *Node) validate(message *wire.Message) error {
	if message.Term >= maxNumber {
		return malformed("term %d", message.Term)
	}
	request := message.Append
	if request == nil {
		return nil
	}
	if request.PrevIndex >= maxNumber || request.MatchIndex >= maxNumber || request.Commit >= maxNumber {
		return malformed("index %d, %d or %d", request.PrevIndex, request.MatchIndex, request.Commit)
	}
	if request.Chunk != nil && !request.Reply {
		if err := n.validateChunk(request, message.Term); err != nil {
			return err
		}
	}
	if err := validateEntries(request.Entries, request.PrevIndex, request.PrevTerm, message.Term); err != nil {
		return err
	}
	return n.validateCommitted(request.Entries)
}

// validateChunk checks that a leader of the term can hold what the chunk is of. An entry in chunks is the one after
// PrevIndex; no member list is so long.
func (n *Node) validateChunk(request *wire.Append, term uint64) error {
	chunk := request.Chunk
	if chunk.Index == 0 || chunk.Index >= maxNumber || chunk.Term > term {
		return malformed("chunk of %d of term %d in term %d", chunk.Index, chunk.Term, term)
	}
	if !chunk.IsEntry {
		return validateMembers(chunk.Members)
	}
	follows := chunk.Index == request.PrevIndex+1 && chunk.Term >= request.PrevTerm
	if !follows || chunk.Kind == EntryMembers || len(request.Entries) > 0 {
		return malformed("chunk of entry %d of kind %d after %d with %d others", chunk.Index, chunk.Kind, request.PrevIndex, len(request.Entries))
	}
	return n.validateCommitted([]wire.Entry{{Index: chunk.Index, Term: chunk.Term}})
}

// validateCommitted checks that entries leave alone what is committed: a leader holds all committed entries (Leader
// Completeness), so one that sends others is none.
func (n *Node) validateCommitted(entries []wire.Entry) error {
	for _, e := range entries {
		if term, ok := n.termAt(e.Index); ok && e.Index <= n.commit && term != e.Term {
			return errors.Mark(errors.Newf("committed entry %d of term %d would be overwritten by one of term %d", e.Index, term, e.Term), ErrCommitConflict)
		}
	}
	return nil
}

// validateEntries checks that entries follow each other and the one before them, with terms that only rise, up to the
// present one.
func validateEntries(entries []wire.Entry, prevIndex, prevTerm, term uint64) error {
	before := prevTerm
	for i, e := range entries {
		if e.Index != prevIndex+1+uint64(i) || e.Term < before || e.Term > term {
			return malformed("entry %d of term %d at offset %d after %d of term %d", e.Index, e.Term, i, prevIndex, prevTerm)
		}
		before = e.Term
		if e.Kind != EntryMembers {
			continue
		}
		var members []wire.Member
		if err := json.Unmarshal(e.Data, &members); err != nil {
			return errors.Mark(errors.Wrapf(err, "members entry %d", e.Index), ErrMalformed)
		}
		if err := validateMembers(members); err != nil {
			return err
		}
	}
	return nil
}

// validateMembers checks that a list has a member, and none twice.
func validateMembers(members []wire.Member) error {
	seen := map[string]bool{}
	for _, member := range members {
		if member.Name == "" || seen[member.Name] {
			return malformed("member %q is listed without a name or twice", member.Name)
		}
		seen[member.Name] = true
	}
	if len(members) == 0 {
		return malformed("a list of no members")
	}
	return nil
}

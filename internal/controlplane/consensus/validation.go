// Validation of received messages. Messages that no correct member can have sent are rejected before they are processed, so
// that no message can make a node panic, adopt an unreadable member list, or overwrite committed entries.

package consensus

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/wire"
)

var (
	// ErrMalformed marks the error for a message that is invalid or inconsistent in itself.
	ErrMalformed = errors.New("malformed message")
	// ErrCommitConflict marks the error for a message that contradicts committed entries of this node. Either two
	// leaders were elected in one term, or some member's data is damaged.
	ErrCommitConflict = errors.New("message contradicts committed entries")
)

// Rejection describes a message that was dropped because it failed validation.
type Rejection struct {
	From string // name of the sender
	Err  error  // marked ErrMalformed or ErrCommitConflict
}

// maxTermOrIndex bounds terms and indexes so that additions to them can't overflow. At a million increments a second it is
// reached after 146,000 years.
const maxTermOrIndex = 1 << 62

func malformed(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrMalformed)
}

// validate checks a vote or append message.
func (n *Node) validate(message *wire.Message) error {
	if message.Term >= maxTermOrIndex {
		return malformed("term %d is out of range", message.Term)
	}
	request := message.Append
	if request == nil {
		return nil
	}
	if request.PrevIndex >= maxTermOrIndex || request.MatchIndex >= maxTermOrIndex || request.Commit >= maxTermOrIndex {
		return malformed("index out of range: prev %d, match %d, commit %d", request.PrevIndex, request.MatchIndex, request.Commit)
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

// validateChunk checks that a leader of the given term can hold the content that the chunk belongs to. A chunked entry must
// directly follow PrevIndex, and can't be a member list, which is never that large.
func (n *Node) validateChunk(request *wire.Append, term uint64) error {
	chunk := request.Chunk
	if chunk.Index == 0 || chunk.Index >= maxTermOrIndex || chunk.Term > term {
		return malformed("chunk with index %d and term %d in a message of term %d", chunk.Index, chunk.Term, term)
	}
	if !chunk.IsEntry {
		return validateMembers(chunk.Members)
	}
	follows := chunk.Index == request.PrevIndex+1 && chunk.Term >= request.PrevTerm
	if !follows || chunk.Kind == EntryMembers || len(request.Entries) > 0 {
		return malformed("chunk of entry %d (term %d, kind %d) after entry %d (term %d), beside %d whole entries",
			chunk.Index, chunk.Term, chunk.Kind, request.PrevIndex, request.PrevTerm, len(request.Entries))
	}
	return n.validateCommitted([]wire.Entry{{Index: chunk.Index, Term: chunk.Term}})
}

// validateCommitted checks that entries don't conflict with committed ones. A legitimate leader holds all committed entries
// (the Leader Completeness property) and never sends conflicting ones.
func (n *Node) validateCommitted(entries []wire.Entry) error {
	for _, e := range entries {
		if term, ok := n.termAt(e.Index); ok && e.Index <= n.commit && term != e.Term {
			return errors.Mark(errors.Newf("entry %d of term %d conflicts with the committed one of term %d", e.Index, e.Term, term), ErrCommitConflict)
		}
	}
	return nil
}

// validateEntries checks that entries are contiguous, directly follow prevIndex, have non-decreasing terms up to the
// message's term, and that member lists among them are valid.
func validateEntries(entries []wire.Entry, prevIndex, prevTerm, term uint64) error {
	before := prevTerm
	for i, e := range entries {
		if e.Index != prevIndex+1+uint64(i) || e.Term < before || e.Term > term {
			return malformed("entry %d of term %d at position %d after entry %d of term %d, in a message of term %d", e.Index, e.Term, i, prevIndex, prevTerm, term)
		}
		before = e.Term
		if e.Kind != EntryMembers {
			continue
		}
		var members []wire.Member
		if err := json.Unmarshal(e.Data, &members); err != nil {
			return errors.Mark(errors.Wrapf(err, "decode membership change entry %d", e.Index), ErrMalformed)
		}
		if err := validateMembers(members); err != nil {
			return err
		}
	}
	return nil
}

// validateMembers checks that a member list isn't empty and has no unnamed or duplicate members.
func validateMembers(members []wire.Member) error {
	seen := map[string]bool{}
	for _, member := range members {
		if member.Name == "" || seen[member.Name] {
			return malformed("member list has an unnamed or duplicate member %q", member.Name)
		}
		seen[member.Name] = true
	}
	if len(members) == 0 {
		return malformed("empty member list")
	}
	return nil
}

// This file models a call that is late: its caller opens a connection to a server, gives the call up and makes a later change
// about the same subject elsewhere, and copies of the call reach leaders at any time after that (see ordering.go of package
// controlplane).

package modelcheck

import (
	"slices"

	"myrtlefold/internal/controlplane/consensus"
)

// The data of the entries of a late call and of later changes about its subject.
var (
	lateCallData    = []byte("late call")
	laterChangeData = []byte("later change")
)

// lateCall is the position of the server at which the caller opened its connection, as of that time.
type lateCall struct {
	opened   bool
	position consensus.Position
}

// lateCallTransitions adds the transitions of a server that concern the late call, if the scenario has one. A caller opens its
// connection once, and makes later changes only after that.
func (s *State) lateCallTransitions(i int, add func(Transition)) {
	if !s.scenario.LateCall {
		return
	}
	if !s.lateCall.opened {
		add(Transition{Kind: OpenLateCall, Server: i})
		return
	}
	if server := s.servers[i]; server.node.HasLease(server.clock(s.now)) {
		add(Transition{Kind: ChangeSubject, Server: i})
		add(Transition{Kind: ExecuteLateCall, Server: i})
	}
}

// openLateCall records a server's position.
func (s *State) openLateCall(i int) { s.lateCall = lateCall{true, s.servers[i].node.Position()} }

// mayExecuteLateCall reports whether a leader executes the late call: its log has no later change about the subject, as far as it
// can tell. Like the control plane's leader it knows the subjects of the entries of its own term only.
func (s *State) mayExecuteLateCall(leader *consensus.Node) bool {
	position := s.lateCall.position
	if hook := s.scenario.Faults.LateCallPosition; hook != nil {
		position = hook(leader, position)
	}
	latest := leader.LastIndexBeforeTerm()
	for _, entry := range leader.Log() {
		if entry.Term == leader.Term() && slices.Equal(entry.Data, laterChangeData) {
			latest = entry.Index
		}
	}
	return leader.CoveredIndex(position) >= latest
}

// checkLateCall checks that no late call is committed after a later change.
func (s *State) checkLateCall(server *server) {
	changedAt := uint64(0)
	for _, entry := range server.node.Log() {
		switch {
		case entry.Index > server.node.Commit():
			return
		case slices.Equal(entry.Data, laterChangeData):
			changedAt = entry.Index
		case changedAt > 0 && slices.Equal(entry.Data, lateCallData):
			s.fail(LateCallsIgnored, "%s has committed a late call as entry %d, after the later change of entry %d", server.name, entry.Index, changedAt)
		}
	}
}

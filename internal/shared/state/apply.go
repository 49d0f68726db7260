package state

import (
	"cmp"
	"encoding/json"
	"slices"
)

// Apply applies the committed command at a log index. Nothing else changes the state, and the result depends
// only on the state and the command, so all members that applied the same entries have the same state.
func (s *State) Apply(index uint64, command Command) {
	if command.Operation == OpRegisterTargets {
		s.changeRegistry(command.Targets) // no table depends on the registry, so Index does not change
		return
	}
	s.Index = index
	if s.isApplied(command.Token) {
		return
	}
	switch command.Operation {
	case OpChangeProxies:
		s.changeProxies(index, command.Proxies, command.RemovedProxies)
		s.recordDepartures(command.DepartedProxies)
	case OpProxiesInForce:
		s.confirmProxies(command.Base)
	case OpRecover:
		s.recover(index, command.State)
	default:
		s.applyOperatorChange(index, command)
	}
}

// isApplied reports whether a command with this token was applied before. Repeated commands have no effect.
func (s *State) isApplied(token string) bool {
	if s.FindRecord(token) != nil {
		return true
	}
	_, accepted := s.FindToken(token)
	return accepted
}

// applyOperatorChange applies a change that an operator requested and records it under its token.
func (s *State) applyOperatorChange(index uint64, command Command) {
	record := Record{
		ID:          command.Token,
		Description: cmp.Or(command.Description, string(command.Operation)+" "+command.Name),
		Outcome:     OutcomeAccepted,
		Base:        command.Base,
		Index:       index,
	}
	switch command.Operation {
	case OpConfigure:
		if !s.isNextConfiguration(command) {
			record.Outcome, record.Revision = s.outcomeOfStaleBase(command)
			s.addRecord(record)
			return
		}
		s.replaceConfiguration(command)
		record.Document, record.Digest = command.Document, command.Digest
	case OpEmptyDomain:
		s.emptyDomain(command.Name)
	case OpRestoreDomain:
		s.restoreDomain(command.Name)
	case OpForgetProxy:
		s.changeProxies(index, nil, []string{command.Name})
		s.recordDepartures([]string{command.Name})
	case OpRemoveMember:
		s.RemovedMembers[command.Name] = index
	case OpAddMember:
		delete(s.RemovedMembers, command.Name)
	}
	if command.Token == "" {
		return
	}
	record.Revision = s.Revision
	s.addRecord(record)
	if command.Operation != OpConfigure {
		s.Changes.addToken(command.Token, s.Revision)
	}
}

// isNextConfiguration reports whether a configuration is based on the current revision and, if the operator
// numbered it, has a higher number.
func (s *State) isNextConfiguration(command Command) bool {
	return command.Base == s.Revision && (command.RequestedRevision == 0 || command.RequestedRevision > s.Revision)
}

// outcomeOfStaleBase returns the outcome of a configuration that is not the next one, and the revision to
// record with it. If the same change was already accepted by an earlier command, the outcome is
// OutcomeAccepted with the revision that the change led to.
func (s *State) outcomeOfStaleBase(command Command) (outcome Outcome, revision uint64) {
	if command.Digest == nil {
		return OutcomeStale, s.Revision
	}
	status, revision := s.FindChange(*command.Digest, command.Base)
	switch status {
	case AlreadyAccepted:
		return OutcomeAccepted, revision
	case StatusUnknown:
		return OutcomeUnknown, s.Revision
	}
	return OutcomeStale, s.Revision
}

// replaceConfiguration makes the command's document the configuration and remembers the change by its digest.
func (s *State) replaceConfiguration(command Command) {
	s.Revision = cmp.Or(command.RequestedRevision, s.Revision+1)
	s.Document = command.Document
	if command.Digest != nil {
		s.Changes.addConfiguration(*command.Digest, s.Revision)
	}
}

func (s *State) emptyDomain(domain string) {
	if slices.Contains(s.EmptiedDomains, domain) {
		return
	}
	s.EmptiedDomains = append(slices.Clone(s.EmptiedDomains), domain)
	slices.Sort(s.EmptiedDomains)
}

func (s *State) restoreDomain(domain string) {
	s.EmptiedDomains = slices.DeleteFunc(slices.Clone(s.EmptiedDomains), func(d string) bool { return d == domain })
}

// changeProxies changes the proxy membership. Until the new membership is in force everywhere, decisions need a
// majority of the previous membership too. Further changes in that time keep PreviousProxies as set by the first
// of them, so that any two deciding majorities have a proxy in common.
func (s *State) changeProxies(index uint64, added []ProxyEntry, removed []string) {
	isReplaced := func(proxy ProxyEntry) bool {
		return slices.Contains(removed, proxy.Name) ||
			slices.ContainsFunc(added, func(a ProxyEntry) bool { return a.Name == proxy.Name })
	}
	proxies := append(slices.DeleteFunc(slices.Clone(s.Proxies), isReplaced), added...)
	slices.SortFunc(proxies, func(a, b ProxyEntry) int { return cmp.Compare(a.Name, b.Name) })
	if len(s.PreviousProxies) == 0 {
		s.PreviousProxies = s.ProxyNames()
	}
	s.Proxies, s.ProxiesIndex = proxies, index
}

// recordDepartures records that the processes of proxies have ended as planned, after these were removed. A majority of the previous
// membership is then one of its other proxies: those that ended can't serve by an earlier table.
func (s *State) recordDepartures(names []string) {
	if len(names) == 0 {
		return
	}
	departed := slices.Clone(s.DepartedProxies)
	for _, name := range names {
		if slices.Contains(s.PreviousProxies, name) && !slices.Contains(departed, name) {
			departed = append(departed, name)
		}
	}
	slices.Sort(departed)
	s.DepartedProxies = departed
}

// confirmProxies drops the previous proxy membership, unless Proxies has changed again since the change at
// this log index.
func (s *State) confirmProxies(changeIndex uint64) {
	if changeIndex == s.ProxiesIndex {
		s.PreviousProxies, s.DepartedProxies = nil, nil
	}
}

// recover sets the first state of an epoch to a state recovered from an earlier epoch. Only the first valid
// entry has an effect. If the state does not decode, the epoch stays without a first state and the leader tries
// another one.
func (s *State) recover(index uint64, encoded json.RawMessage) {
	if s.Recovered {
		return
	}
	first, err := Decode(encoded)
	if err != nil {
		return
	}
	*s = first
	s.Members = nil
	if len(s.Document) == 0 {
		s.Document = json.RawMessage(EmptyDocument)
	}
	if s.RemovedMembers == nil {
		s.RemovedMembers = map[string]uint64{}
	}
	s.Recovered, s.Index = true, index
}

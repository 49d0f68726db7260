// Package state is the durable state that the core's members agree on: its types, the one function
// that changes it by an agreed log entry (State.Apply), and the form that it has in the log, in
// snapshots, on disk and in proxies' memories. It knows nothing of consensus or I/O. Begin with
// State and Apply in state.go.
package state

import (
	"cmp"
	"encoding/json"
	"slices"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// ProxyEntry is a proxy's place in the durable roster.
type ProxyEntry struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
}

// Record is one change as it was agreed.
type Record struct {
	ID          string          `json:"id"`
	Description string          `json:"what"`
	Outcome     Outcome         `json:"outcome"` // one of the outcomes below
	Base        uint64          `json:"base,omitempty"`
	Revision    uint64          `json:"revision"`
	Index       uint64          `json:"seq"`
	Document    json.RawMessage `json:"doc,omitempty"`
	Digest      *ChangeDigest   `json:"sum,omitempty"` // of a configuration's change as it was asked for
}

// Outcome is what became of an agreed change. The texts stand in the log and in answers.
type Outcome string

// Outcomes of a change.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeStale    Outcome = "stale"   // built on another revision than the present one
	OutcomeUnknown  Outcome = "unknown" // built on a revision so old that it may have been accepted long ago
)

// State is what the members agree on.
type State struct {
	Recovered       bool              `json:"adopted"`
	Index           uint64            `json:"seq"`
	Revision        uint64            `json:"revision"`
	Document        json.RawMessage   `json:"doc"`
	Records         []Record          `json:"records,omitempty"`
	Changes         AcceptedChanges   `json:"orders,omitzero"`
	Proxies         []ProxyEntry      `json:"roster,omitempty"`
	PreviousProxies []string          `json:"was,omitempty"`       // the roster before, while this one is not in force everywhere
	ProxiesIndex    uint64            `json:"roster_at,omitempty"` // entry of the roster's last change
	EmptiedDomains  []string          `json:"emptied,omitempty"`
	RemovedMembers  map[string]uint64 `json:"out,omitempty"`     // members taken out by an operator
	Members         []wire.Member     `json:"members,omitempty"` // in proxies' copies only: who a core could be rebuilt with
	Registrations   []Registration    `json:"places,omitempty"`  // the targets there were, by identity; proxies have them in their tables
	Tombstones      []Tombstone       `json:"marks,omitempty"`
}

// Operation is what a Command does. The texts stand in the log.
type Operation string

// Operations.
const (
	OpConfigure       Operation = "config"   // replaces the configuration
	OpEmptyDomain     Operation = "empty"    // a failure domain gets no new requests
	OpRestoreDomain   Operation = "restore"  // it does again
	OpChangeProxies   Operation = "roster"   // admits and drops proxies
	OpProxiesInForce  Operation = "enrolled" // the last change of proxies is in force everywhere
	OpForgetProxy     Operation = "forget"   // an operator drops a proxy
	OpRemoveMember    Operation = "out"      // an operator takes a member out of the core
	OpAddMember       Operation = "in"       // and lets it in again
	OpRecover         Operation = "adopt"    // an epoch's first state, recovered from an earlier one
	OpRegisterTargets Operation = "targets"  // a batch of the registry of targets
)

// Command is a log entry's text.
type Command struct {
	Operation         Operation       `json:"op"`
	Token             string          `json:"token,omitempty"`
	Base              uint64          `json:"base,omitempty"`
	Document          json.RawMessage `json:"doc,omitempty"`
	Description       string          `json:"what,omitempty"`
	Name              string          `json:"name,omitempty"`
	Proxies           []ProxyEntry    `json:"gates,omitempty"`
	RemovedProxies    []string        `json:"gone,omitempty"`
	State             json.RawMessage `json:"state,omitempty"`
	RequestedRevision uint64          `json:"rev,omitempty"` // the operator's own number for a configuration
	Digest            *ChangeDigest   `json:"sum,omitempty"`
	Targets           *RegistryChange `json:"reg,omitempty"`
}

func New() State { return State{Document: json.RawMessage(`{}`), RemovedMembers: map[string]uint64{}} }

// slim is the state as proxies keep it, without the texts of past changes and
// without the document, which travels beside it, and with the members of the time.
func (s *State) EncodeForProxies(ms []wire.Member) []byte {
	t := *s
	t.Document, t.Members, t.Registrations, t.Tombstones = nil, ms, nil, nil
	t.Changes = s.Changes.latest(tuning.AcceptedChangesInTables)
	t.Records = slices.Clone(s.Records)
	for i := range t.Records {
		t.Records[i].Document = nil
	}
	b, _ := json.Marshal(t)
	return b
}

func (s *State) addRecord(r Record) {
	s.Records = append(s.Records, r)
	// Configurations and all else are kept apart: orders that are repeated push no text out.
	same, first := 0, -1
	for i, o := range s.Records {
		if (o.Digest == nil) == (r.Digest == nil) {
			if same++; first < 0 {
				first = i
			}
		}
	}
	if same > tuning.ChangesKept {
		s.Records = slices.Delete(slices.Clone(s.Records), first, first+1)
	}
	left := tuning.HistoryBytes
	for i := len(s.Records) - 1; i >= 0; i-- {
		if left -= len(s.Records[i].Document); left < 0 {
			s.Records = slices.Clone(s.Records)
			s.Records[i].Document = nil
		}
	}
}

func (s *State) FindRecord(token string) *Record {
	for i := range s.Records {
		if s.Records[i].ID == token && token != "" {
			return &s.Records[i]
		}
	}
	return nil
}

// Apply is the one place where agreed entries change the state.
func (s *State) Apply(index uint64, o Command) {
	if o.Operation == OpRegisterTargets { // no table goes by these, so its sequence stays
		s.register(o.Targets)
		return
	}
	s.Index = index
	if s.FindRecord(o.Token) != nil {
		return
	}
	if _, taken := s.FindToken(o.Token); taken {
		return
	}
	r := Record{ID: o.Token, Description: cmp.Or(o.Description, string(o.Operation)+" "+o.Name), Outcome: OutcomeAccepted, Base: o.Base, Index: index}
	switch o.Operation {
	case OpConfigure:
		if o.Base != s.Revision || o.RequestedRevision != 0 && o.RequestedRevision <= s.Revision {
			r.Outcome, r.Revision = s.outcomeOfStaleBase(o)
			s.addRecord(r)
			return
		}
		s.Revision = cmp.Or(o.RequestedRevision, s.Revision+1)
		s.Document = o.Document
		r.Document, r.Digest = o.Document, o.Digest
		if o.Digest != nil {
			s.Changes.addConfiguration(*o.Digest, s.Revision)
		}
	case OpEmptyDomain:
		if !slices.Contains(s.EmptiedDomains, o.Name) {
			s.EmptiedDomains = append(slices.Clone(s.EmptiedDomains), o.Name)
			slices.Sort(s.EmptiedDomains)
		}
	case OpRestoreDomain:
		s.EmptiedDomains = slices.DeleteFunc(slices.Clone(s.EmptiedDomains), func(d string) bool { return d == o.Name })
	case OpChangeProxies:
		s.changeProxies(index, o.Proxies, o.RemovedProxies)
		return
	case OpProxiesInForce:
		if o.Base == s.ProxiesIndex {
			s.PreviousProxies = nil
		}
		return
	case OpForgetProxy:
		s.changeProxies(index, nil, []string{o.Name})
	case OpRemoveMember:
		s.RemovedMembers[o.Name] = index
	case OpAddMember:
		delete(s.RemovedMembers, o.Name)
	case OpRecover:
		if s.Recovered {
			return
		}
		t, err := Decode(o.State)
		if err != nil {
			return // not adopted: the leader goes on to what else is remembered
		}
		*s = t
		s.Members = nil
		if len(s.Document) == 0 {
			s.Document = json.RawMessage(`{}`)
		}
		if s.RemovedMembers == nil {
			s.RemovedMembers = map[string]uint64{}
		}
		s.Recovered, s.Index = true, index
		return
	}
	if o.Token == "" {
		return
	}
	r.Revision = s.Revision
	s.addRecord(r)
	if o.Operation != OpConfigure {
		s.Changes.addToken(o.Token, s.Revision)
	}
}

// outcomeOfStaleBase is what becomes of a change of the configuration that is not built on
// the present revision, or numbered below it.
func (s *State) outcomeOfStaleBase(o Command) (outcome Outcome, revision uint64) {
	if o.Digest == nil {
		return OutcomeStale, s.Revision
	}
	verdict, revision := s.FindChange(*o.Digest, o.Base)
	switch verdict {
	case AlreadyAccepted: // asked twice before it was agreed
		return OutcomeAccepted, revision
	case Forgotten:
		return OutcomeUnknown, s.Revision
	}
	return OutcomeStale, s.Revision
}

// changeProxies changes the roster. The one before counts with it until the new one is in
// force everywhere; while that is so, further changes keep the first.
func (s *State) changeProxies(index uint64, add []ProxyEntry, gone []string) {
	l := slices.DeleteFunc(slices.Clone(s.Proxies), func(g ProxyEntry) bool {
		return slices.Contains(gone, g.Name) || slices.ContainsFunc(add, func(a ProxyEntry) bool { return a.Name == g.Name })
	})
	l = append(l, add...)
	slices.SortFunc(l, func(a, b ProxyEntry) int { return cmp.Compare(a.Name, b.Name) })
	if len(s.PreviousProxies) == 0 {
		s.PreviousProxies = s.ProxyNames()
	}
	s.Proxies, s.ProxiesIndex = l, index
}

func (s *State) ProxyNames() (l []string) {
	for _, g := range s.Proxies {
		l = append(l, g.Name)
	}
	return l
}

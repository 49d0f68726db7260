package state

import (
	"encoding/json"
	"slices"

	"myrtlefold/internal/shared/tuning"
)

// Record describes one committed change, for the change history in the API.
type Record struct {
	ID          string          `json:"id"`             // the operator's token
	Description string          `json:"what"`           // human-readable
	Outcome     Outcome         `json:"outcome"`        // result of the change
	Base        uint64          `json:"base,omitempty"` // revision on which the change is based
	Revision    uint64          `json:"revision"`       // revision after the change
	Index       uint64          `json:"seq"`            // log index of the change
	Document    json.RawMessage `json:"doc,omitempty"`  // configuration after the change, nil if it is not kept
	Digest      *ChangeDigest   `json:"sum,omitempty"`  // digest of an accepted configuration change, else nil
}

// Outcome is the result of a committed change. Its values are stored in the log and sent in API responses.
type Outcome string

// Outcomes of a change.
const (
	OutcomeAccepted Outcome = "accepted" // the change took effect
	OutcomeStale    Outcome = "stale"    // rejected: not based on the current revision, or not numbered above it
	OutcomeUnknown  Outcome = "unknown"  // based on a revision so old that it may have been accepted before
)

// FindRecord returns the record with an operator's token, nil if there is none or the token is "".
func (s *State) FindRecord(token string) *Record {
	for i := range s.Records {
		if s.Records[i].ID == token && token != "" {
			return &s.Records[i]
		}
	}
	return nil
}

// addRecord appends a record and drops the oldest data beyond the limits: tuning.ChangesKept records of each kind
// and tuning.HistoryBytes of configurations.
func (s *State) addRecord(record Record) {
	s.Records = append(s.Records, record)
	s.dropOldestRecord(record.hasConfiguration())
	s.dropOldDocuments()
}

// hasConfiguration reports whether the record is that of an accepted configuration change.
func (r *Record) hasConfiguration() bool { return r.Digest != nil }

// dropOldestRecord drops the oldest record of a kind if there are more than tuning.ChangesKept. Accepted
// configurations are counted separately from all other records, so that many other changes do not displace them.
func (s *State) dropOldestRecord(configuration bool) {
	count, oldest := 0, -1
	for i := range s.Records {
		if s.Records[i].hasConfiguration() != configuration {
			continue
		}
		if oldest < 0 {
			oldest = i
		}
		count++
	}
	if count > tuning.ChangesKept {
		s.Records = slices.Delete(slices.Clone(s.Records), oldest, oldest+1)
	}
}

// dropOldDocuments removes the configurations of the oldest records until the others fit into tuning.HistoryBytes.
func (s *State) dropOldDocuments() {
	left := tuning.HistoryBytes
	for i := len(s.Records) - 1; i >= 0; i-- {
		if left -= len(s.Records[i].Document); left < 0 {
			s.Records = slices.Clone(s.Records)
			s.Records[i].Document = nil
		}
	}
}

// This file has the records of operators' changes, which the API's history shows.

package state

import (
	"encoding/json"
	"slices"

	"myrtlefold/internal/shared/tuning"
)

// Record is one change as it was committed.
type Record struct {
	ID          string          `json:"id"`             // the operator's token
	Description string          `json:"what"`           // for people
	Outcome     Outcome         `json:"outcome"`        // what became of it
	Base        uint64          `json:"base,omitempty"` // revision that it was built on
	Revision    uint64          `json:"revision"`       // revision that it led to
	Index       uint64          `json:"seq"`            // its log index
	Document    json.RawMessage `json:"doc,omitempty"`  // the configuration that it led to, nil if that is not kept
	Digest      *ChangeDigest   `json:"sum,omitempty"`  // of a change of the configuration as it was asked for
}

// Outcome is what became of a committed change. The texts stand in the log and in answers.
type Outcome string

// Outcomes of a change.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeStale    Outcome = "stale"   // built on another revision than the present one
	OutcomeUnknown  Outcome = "unknown" // built on a revision so old that it may have been accepted long ago
)

// FindRecord returns the record of an operator's token, nil if there is none or the token is "".
func (s *State) FindRecord(token string) *Record {
	for i := range s.Records {
		if s.Records[i].ID == token && token != "" {
			return &s.Records[i]
		}
	}
	return nil
}

// addRecord adds a record and drops what is beyond the bounds: tuning.ChangesKept records of a kind, and
// tuning.HistoryBytes of configurations.
func (s *State) addRecord(record Record) {
	s.Records = append(s.Records, record)
	s.dropOldestRecord(record.hasConfiguration())
	s.dropOldDocuments()
}

// hasConfiguration says that the record is of a configuration that was accepted.
func (r *Record) hasConfiguration() bool { return r.Digest != nil }

// dropOldestRecord drops the oldest record of a kind if there are too many of it. Accepted
// configurations count apart from all else, so that a flood of other changes drops none of them.
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

// dropOldDocuments drops the configurations of the oldest records that don't fit into tuning.HistoryBytes.
func (s *State) dropOldDocuments() {
	left := tuning.HistoryBytes
	for i := len(s.Records) - 1; i >= 0; i-- {
		if left -= len(s.Records[i].Document); left < 0 {
			s.Records = slices.Clone(s.Records)
			s.Records[i].Document = nil
		}
	}
}

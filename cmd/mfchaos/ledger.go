// This file reads the ledgers in which the test back ends record what they ran.

package main

import (
	"bytes"
	"encoding/json"
	"myrtlefold/internal/shared/wire"
	"os"
	"path/filepath"
)

// ledgerEntry is one request that a back end ran.
type ledgerEntry struct {
	ID       string           `json:"id"`
	At       int64            `json:"at_ns"` // nanoseconds since 1970
	Service  string           `json:"service"`
	Name     string           `json:"name"` // the back end's
	Domain   string           `json:"domain"`
	State    wire.TargetState `json:"state"`     // what the back end reported of itself
	Cold     bool             `json:"cold"`      // it was warming up
	InWork   int              `json:"in_work"`   // requests that it worked on, this one included
	MeantFor string           `json:"meant_for"` // the service that the caller meant, if that is another
}

// ledgerEntries are all entries of all back ends. The last line of one that was killed may be cut: it is left out.
func (f *fleet) ledgerEntries() []ledgerEntry {
	files, err := filepath.Glob(f.path("ledger", "*.ledger"))
	if err != nil {
		f.violation("lab", "%v", err)
	}
	var entries []ledgerEntry
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			f.violation("lab", "%v", err)
		}
		for line := range bytes.Lines(text) {
			var entry ledgerEntry
			if json.Unmarshal(line, &entry) == nil {
				entries = append(entries, entry)
			}
		}
	}
	return entries
}

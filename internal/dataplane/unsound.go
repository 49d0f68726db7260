// This file refuses a table whose configuration can't be read. The proxy goes on with the table
// that it has: it neither confirms the unsound one nor gets a lease for it, so a leader can't
// call that configuration in force here.

package dataplane

import (
	"fmt"
	"myrtlefold/internal/shared/statemachine"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/wire"
)

// invalidDocument identifies a configuration that was refused.
type invalidDocument struct{ epoch, revision uint64 }

// readConfiguration reads the configuration of a whole table. The error says why it can't be put in force.
func readConfiguration(t *wire.Table) (*config.Config, error) {
	doc, err := wire.Decompress(t.Document)
	if err != nil {
		return nil, errors.Wrap(err, "configuration not decompressed")
	}
	cfg, faults, err := outlier.ParseConfig(doc)
	if err != nil {
		return nil, errors.Wrap(err, "configuration not decoded")
	}
	if len(faults) > 0 {
		return nil, errors.Newf("configuration invalid: %v", faults)
	}
	return cfg, nil
}

// rejectTable counts an unsound table and reports its configuration once, however often the
// leader sends it.
func (p *Proxy) rejectTable(t *wire.Table, err error) {
	p.Counts.InvalidTables++
	document := invalidDocument{t.Key.Epoch, t.Revision}
	if document == p.reportedInvalid {
		return
	}
	p.reportedInvalid = document
	p.emit(statemachine.StateChange{Subject: statemachine.SubjectDamage, From: fmt.Sprintf("table %v, revision %d", t.Key, t.Revision), Reason: err.Error()})
}

// This file rejects a table whose configuration can't be read. The proxy goes on with the table that it has: it neither
// confirms the invalid one nor gets a lease for it, so a leader can't call that configuration in force here.

package dataplane

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// invalidDocument identifies a configuration that was rejected.
type invalidDocument struct{ epoch, revision uint64 }

// readConfiguration reads the configuration of a full table. The error says why it can't be put in force.
func readConfiguration(table *wire.Table) (*config.Config, error) {
	document, err := wire.Decompress(table.Document)
	if err != nil {
		return nil, errors.Wrap(err, "configuration not decompressed")
	}
	configuration, faults, err := outlier.ParseConfig(document)
	if err != nil {
		return nil, errors.Wrap(err, "configuration not decoded")
	}
	if len(faults) > 0 {
		return nil, errors.Newf("configuration invalid: %v", faults)
	}
	return configuration, nil
}

// rejectTable counts an invalid table, and reports its configuration once, however often the leader sends it.
func (p *Proxy) rejectTable(table *wire.Table, err error) {
	p.Counts.InvalidTables++
	document := invalidDocument{epoch: table.Key.Epoch, revision: table.Revision}
	if document == p.reportedInvalid {
		return
	}
	p.reportedInvalid = document
	p.emit(statemachine.StateChange{
		Subject: statemachine.SubjectDamage,
		From:    fmt.Sprintf("table %v, revision %d", table.Key, table.Revision),
		Reason:  err.Error(),
	})
}

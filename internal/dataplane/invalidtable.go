// Rejection of tables whose configuration is invalid. The proxy keeps its current table. It neither confirms
// the invalid one nor accepts a lease for it, so the leader can't count that configuration as in force at this
// proxy.

package dataplane

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// invalidDocument identifies a rejected configuration.
type invalidDocument struct{ epoch, revision uint64 }

// readConfiguration decodes and validates the configuration of a full table.
func readConfiguration(table *wire.Table) (*config.Config, error) {
	document, err := wire.Decompress(table.Document)
	if err != nil {
		return nil, errors.Wrap(err, "decompress the configuration")
	}
	configuration, faults, err := outlier.ParseConfig(document)
	if err != nil {
		return nil, errors.Wrap(err, "decode the configuration")
	}
	if len(faults) > 0 {
		return nil, errors.Newf("invalid configuration: %v", faults)
	}
	return configuration, nil
}

// rejectTable counts an invalid table. It reports each invalid configuration only once, however often the
// leader sends it.
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

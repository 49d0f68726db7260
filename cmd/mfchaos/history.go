// This file records the operators' reads and changes of the configuration, which all go through mfctl, and checks that
// the recorded history is linearizable; see package linearizability.
package main

import (
	"encoding/json"
	"strconv"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/verification/linearizability"
)

// Exit codes of mfctl that determine the outcome of a change; after any other the outcome is unknown.
const (
	ctlDone     = 0
	ctlStale    = 3 // the base is not the current revision
	ctlInvalid  = 4 // the configuration is invalid
	ctlNoLeader = 5 // nothing was changed
)

// ctlResult is the result of one run of 'mfctl config put'.
type ctlResult struct {
	output     string
	code       int
	finishedAt time.Duration // since the fleet's start
}

// putConfig sends a configuration that is based on revision base, and records the call in the history.
func (f *fleet) putConfig(doc []byte, base int, flags ...string) (out string, code int) {
	write := f.recordChange(doc, base)
	call := f.runConfigPut(doc, base, flags...)
	recordReply(write, call)
	return call.output, call.code
}

// recordChange adds a change to the history as it is sent.
func (f *fleet) recordChange(doc []byte, base int) *linearizability.Operation {
	text := canonical(doc)
	return f.history.Write(time.Since(f.startedAt), linearizability.Change{Base: uint64(base), Key: text, Value: text})
}

// runConfigPut runs 'mfctl config put'. It modifies nothing of the fleet, so several calls may run concurrently.
func (f *fleet) runConfigPut(doc []byte, base int, flags ...string) ctlResult {
	args := append([]string{"-o", "json"}, flags...)
	out, code := f.runCtl(doc, append(args, "config", "put", "-", "--base", strconv.Itoa(base))...)
	return ctlResult{out, code, time.Since(f.startedAt)}
}

// recordReply adds the reply to a change to the history.
func recordReply(write *linearizability.Operation, call ctlResult) {
	var v struct {
		Revision uint64 `json:"revision"`
		Error    struct {
			Revision uint64 `json:"revision"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(call.output), &v) != nil && call.code == ctlDone {
		return // the change is accepted, but its revision is unknown
	}
	switch call.code {
	case ctlDone:
		write.Acknowledge(call.finishedAt, v.Revision)
	case ctlStale:
		write.Reject(call.finishedAt, v.Error.Revision)
	case ctlInvalid, ctlNoLeader:
		write.NoEffect(call.finishedAt)
	}
}

// revision reads the current revision of the configuration and records the read; it returns -1 if the read fails.
func (f *fleet) revision() int {
	read := f.history.Read(time.Since(f.startedAt))
	out, code := f.runCtl(nil, "-o", "json", "config", "get")
	var v struct {
		Revision int             `json:"revision"`
		Config   json.RawMessage `json:"config"`
	}
	if code != 0 || json.Unmarshal([]byte(out), &v) != nil {
		read.NoEffect(time.Since(f.startedAt))
		return -1
	}
	value := ""
	if v.Revision > 0 {
		value = canonical(v.Config)
	}
	read.Return(time.Since(f.startedAt), uint64(v.Revision), value)
	return v.Revision
}

// canonical returns a form of a document that is the same for all equivalent documents.
func canonical(doc []byte) string {
	if c, err := config.Canonical(doc); err == nil {
		return string(c)
	}
	return string(doc)
}

// checkHistory checks that the recorded calls are linearizable.
func (f *fleet) checkHistory() {
	if err := f.history.Check(); err != nil {
		f.recordViolation(ruleLinearizable, "%v", err)
	}
	f.logf("%d reads and changes of the configuration were recorded", f.history.Len())
}

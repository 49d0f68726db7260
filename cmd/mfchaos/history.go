// This file records the operators' calls for the configuration, which all go through
// mfctl, and checks at the end that they are linearizable; see package linearizability.
package main

import (
	"encoding/json"
	"strconv"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/verification/linearizability"
)

// Exit codes of mfctl that tell what became of an order; any other leaves it open.
const (
	ctlDone     = 0
	ctlStale    = 3
	ctlInvalid  = 4
	ctlNoLeader = 5 // nothing was changed
)

// configCall is one run of 'mfctl config put'.
type configCall struct {
	output     string
	code       int
	finishedAt time.Duration
}

// putConfig puts a configuration on a base and records the call.
func (f *fleet) putConfig(doc []byte, base int, flags ...string) (out string, code int) {
	write := f.recordChange(doc, base)
	call := f.runPut(doc, base, flags...)
	recordReply(write, call)
	return call.output, call.code
}

// recordChange takes an order into the history as it is sent.
func (f *fleet) recordChange(doc []byte, base int) *linearizability.Operation {
	text := canonical(doc)
	return f.history.Write(time.Since(f.startedAt), linearizability.Change{Base: uint64(base), Key: text, Value: text})
}

// runPut runs mfctl. It touches nothing of the lab, so that several may run at once.
func (f *fleet) runPut(doc []byte, base int, flags ...string) configCall {
	args := append([]string{"-o", "json"}, flags...)
	out, code := f.ctl(doc, append(args, "config", "put", "-", "--base", strconv.Itoa(base))...)
	return configCall{out, code, time.Since(f.startedAt)}
}

// recordReply takes an order's answer into the history.
func recordReply(write *linearizability.Operation, call configCall) {
	var v struct {
		Revision uint64 `json:"revision"`
		Error    struct {
			Revision uint64 `json:"revision"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(call.output), &v) != nil && call.code == ctlDone {
		return // it is acknowledged, but nobody knows as which revision
	}
	switch call.code {
	case ctlDone:
		write.Acknowledge(call.finishedAt, v.Revision)
	case ctlStale:
		write.Reject(call.finishedAt, v.Error.Revision)
	case ctlInvalid, ctlNoLeader:
		write.Void(call.finishedAt)
	}
}

// revision reads the configuration's revision, -1 if nobody tells it.
func (f *fleet) revision() int {
	read := f.history.Read(time.Since(f.startedAt))
	out, code := f.ctl(nil, "-o", "json", "config", "get")
	var v struct {
		Revision int             `json:"revision"`
		Config   json.RawMessage `json:"config"`
	}
	if code != 0 || json.Unmarshal([]byte(out), &v) != nil {
		read.Void(time.Since(f.startedAt))
		return -1
	}
	value := ""
	if v.Revision > 0 {
		value = canonical(v.Config)
	}
	read.Return(time.Since(f.startedAt), uint64(v.Revision), value)
	return v.Revision
}

// canonical is one form for all documents that say the same.
func canonical(doc []byte) string {
	if c, err := config.Canonical(doc); err == nil {
		return string(c)
	}
	return string(doc)
}

// checkHistory looks whether all answers to operators fit one order of events.
func (f *fleet) checkHistory() {
	if err := f.history.Check(); err != nil {
		f.violation("history", "%v", err)
	}
	f.logf("%d calls for the configuration were recorded", f.history.Len())
}

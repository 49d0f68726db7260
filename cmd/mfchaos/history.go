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
	out   string
	code  int
	ended time.Duration
}

// putConfig puts a configuration on a base and records the call.
func (l *lab) putConfig(doc []byte, base int, flags ...string) (out string, code int) {
	write := l.recordOrder(doc, base)
	call := l.runPut(doc, base, flags...)
	recordAnswer(write, call)
	return call.out, call.code
}

// recordOrder takes an order into the history as it is sent.
func (l *lab) recordOrder(doc []byte, base int) *linearizability.Operation {
	text := canonical(doc)
	return l.history.Write(time.Since(l.start), linearizability.Change{Base: uint64(base), Key: text, Value: text})
}

// runPut runs mfctl. It touches nothing of the lab, so that several may run at once.
func (l *lab) runPut(doc []byte, base int, flags ...string) configCall {
	args := append([]string{"-o", "json"}, flags...)
	out, code := l.ctl(doc, append(args, "config", "put", "-", "--base", strconv.Itoa(base))...)
	return configCall{out, code, time.Since(l.start)}
}

// recordAnswer takes an order's answer into the history.
func recordAnswer(write *linearizability.Operation, call configCall) {
	var v struct {
		Revision uint64 `json:"revision"`
		Error    struct {
			Revision uint64 `json:"revision"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(call.out), &v) != nil && call.code == ctlDone {
		return // it is acknowledged, but nobody knows as which revision
	}
	switch call.code {
	case ctlDone:
		write.Acknowledge(call.ended, v.Revision)
	case ctlStale:
		write.Reject(call.ended, v.Error.Revision)
	case ctlInvalid, ctlNoLeader:
		write.Void(call.ended)
	}
}

// revision reads the configuration's revision, -1 if nobody tells it.
func (l *lab) revision() int {
	read := l.history.Read(time.Since(l.start))
	out, code := l.ctl(nil, "-o", "json", "config", "get")
	var v struct {
		Revision int             `json:"revision"`
		Config   json.RawMessage `json:"config"`
	}
	if code != 0 || json.Unmarshal([]byte(out), &v) != nil {
		read.Void(time.Since(l.start))
		return -1
	}
	value := ""
	if v.Revision > 0 {
		value = canonical(v.Config)
	}
	read.Return(time.Since(l.start), uint64(v.Revision), value)
	return v.Revision
}

// canonical is one form for all documents that say the same.
func canonical(doc []byte) string {
	if c, err := config.Canonical(doc); err == nil {
		return string(c)
	}
	return string(doc)
}

// checkHistory looks whether all that operators were told fits one order of events.
func (l *lab) checkHistory() {
	if err := l.history.Check(); err != nil {
		l.note("history", "%v", err)
	}
	l.say("%d calls for the configuration were recorded", l.history.Len())
}

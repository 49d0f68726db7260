package simulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
	"myrtlefold/internal/verification/linearizability"
)

// diskLossWindow is how far apart disks are lost that count as lost at once.
const diskLossWindow = 30 * time.Second

// changesConfiguration says whether a call changes the configuration if it is accepted.
func changesConfiguration(method, path string) bool {
	return method != "GET" && (strings.HasPrefix(path, "/v1/config") || strings.HasPrefix(path, "/v1/policies/"))
}

// readsConfiguration says whether a call reads the configuration in force.
func readsConfiguration(method, path string) bool { return method == "GET" && path == "/v1/config" }

// record takes a call for the configuration into the history; the function that it returns takes the reply.
func (w *World) record(method, path, query string, body []byte, token string) func(statemachine.Reply) {
	switch {
	case readsConfiguration(method, path) && query == "":
		read := w.checks.history.Read(w.now)
		return func(r statemachine.Reply) { w.recordRead(read, r) }
	case changesConfiguration(method, path):
		write := w.checks.history.Write(w.now, changeOf(method, path, query, body, token))
		return func(r statemachine.Reply) { w.recordWrite(write, r) }
	}
	return func(statemachine.Reply) {}
}

// changeOf is a call as the history knows it. What the result of a partial change is, only
// the leader knows.
func changeOf(method, path, query string, body []byte, token string) linearizability.Change {
	document := canonical(body)
	c := linearizability.Change{Base: queryNumber(query, "base"), Key: fmt.Sprintf("%s %s %s %s", method, path, query, document), Token: token}
	if method == "PUT" && path == "/v1/config" {
		c.Value = document
	}
	return c
}

// queryNumber is a number in a call's query, 0 if it is not there.
func queryNumber(query, key string) uint64 {
	values, err := url.ParseQuery(query)
	if err != nil {
		return 0
	}
	number, err := strconv.ParseUint(values.Get(key), 10, 64)
	if err != nil {
		return 0
	}
	return number
}

// canonical is one form for all documents that mean the same, and any other text as it is.
func canonical(document []byte) string {
	if c, err := config.Canonical(document); err == nil {
		return string(c)
	}
	return string(document)
}

func (w *World) recordRead(read *linearizability.Operation, r statemachine.Reply) {
	var body struct {
		Revision uint64          `json:"revision"`
		Config   json.RawMessage `json:"config"`
	}
	if r.Status != http.StatusOK || json.Unmarshal(r.Body, &body) != nil {
		read.Void(w.now)
		return
	}
	value := ""
	if body.Revision > 0 && len(body.Config) > 0 {
		value = canonical(body.Config)
	}
	read.Return(w.now, body.Revision, value)
}

func (w *World) recordWrite(write *linearizability.Operation, reply statemachine.Reply) {
	switch reply.Status {
	case http.StatusOK:
		write.Acknowledge(w.now, revisionOf(reply))
	case http.StatusPreconditionFailed:
		var body struct {
			Error struct {
				Revision uint64 `json:"revision"`
			} `json:"error"`
		}
		if json.Unmarshal(reply.Body, &body) != nil {
			body.Error.Revision = 0 // fits any revision
		}
		write.Reject(w.now, body.Error.Revision)
	case http.StatusGatewayTimeout: // open: it may take effect at any later time, or never
	default:
		write.Void(w.now)
	}
}

// CheckHistory checks that all replies to operators fit one order of events.
func (w *World) CheckHistory() {
	if err := w.checks.history.Check(); err != nil && w.Failure == "" {
		w.violated(ruleLinearizable, "%v", err)
	}
}

// StartReaders has an operator read the configuration again and again, at any control daemon.
func (w *World) StartReaders(interval time.Duration) {
	daemons := w.daemons(wire.ControlDaemon)
	if p := daemons[w.random.IntN(len(daemons))]; p.alive && !w.callers.stopped {
		w.call(p, "GET", "/v1/config", "", nil, "", w.ignoreReply)
	}
	w.schedule(interval/2+time.Duration(w.random.Int64N(int64(interval))), func() { w.StartReaders(interval) })
}

// recordDiskLoss notes that a control daemon's disk is lost. If a majority of them is lost at once, the history
// learns that what had been agreed and not acknowledged may be lost with them.
func (w *World) recordDiskLoss(p *Process) {
	if p.kind != wire.ControlDaemon {
		return
	}
	p.diskLostAt = w.now
	lost := 0
	for _, other := range w.processes.byName { // also those whose machines were removed
		if other.kind == wire.ControlDaemon && other.diskLostAt > 0 && w.now-other.diskLostAt < diskLossWindow {
			lost++
		}
	}
	if 2*lost >= len(w.daemonNames(wire.ControlDaemon)) {
		w.checks.history.ForgetUnacknowledged(w.checks.acknowledged)
	}
}

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

// diskLossWindow is the time within which losses of disks count as simultaneous.
const diskLossWindow = 30 * time.Second

// changesConfiguration reports whether a call changes the configuration if it is accepted.
func changesConfiguration(method, path string) bool {
	return method != "GET" && (strings.HasPrefix(path, "/v1/config") || strings.HasPrefix(path, "/v1/policies/"))
}

// readsConfiguration reports whether a call reads the current configuration.
func readsConfiguration(method, path string) bool { return method == "GET" && path == "/v1/config" }

// record adds a call that reads or changes the configuration to the history. The returned function records the reply.
func (w *World) record(method, path, query string, body []byte, token string) func(statemachine.Reply) {
	switch {
	case readsConfiguration(method, path) && query == "":
		read := w.checks.history.Read(w.now)
		return func(r statemachine.Reply) { w.recordRead(read, r) }
	case method == http.MethodGet && path == domainsPath:
		sentAt := w.now
		return func(r statemachine.Reply) { w.recordDomainRead(sentAt, r) }
	case changesConfiguration(method, path):
		write := w.checks.history.Write(w.now, changeOf(method, path, query, body, token))
		return func(r statemachine.Reply) { w.recordWrite(write, r) }
	}
	return func(statemachine.Reply) {}
}

// changeOf returns a call as a change of the history. Its value is set only for a complete configuration: the result of a partial
// change depends on the leader's configuration.
func changeOf(method, path, query string, body []byte, token string) linearizability.Change {
	document := canonical(body)
	c := linearizability.Change{Base: queryNumber(query, "base"), Key: fmt.Sprintf("%s %s %s %s", method, path, query, document), Token: token}
	if method == "PUT" && path == "/v1/config" {
		c.Value = document
	}
	return c
}

// queryNumber returns a number from a call's query, or 0 if it is missing or invalid.
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

// canonical returns the canonical form of a configuration document. It returns other text unchanged.
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
		read.NoEffect(w.now)
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
			body.Error.Revision = 0 // 0 matches any revision
		}
		write.Reject(w.now, body.Error.Revision)
	case http.StatusGatewayTimeout: // the operation stays open, since it may take effect at any later time or never
	default:
		write.NoEffect(w.now)
	}
}

// CheckHistory checks that the histories of operators' reads and changes are linearizable.
func (w *World) CheckHistory() {
	if err := w.checks.history.Check(); err != nil && w.Failure == "" {
		w.violated(ruleLinearizable, "%v", err)
	}
	if err := w.checks.domains.Check(); err != nil && w.Failure == "" {
		w.violated(ruleLinearizable, "%v", err)
	}
}

// StartReaders starts periodic reads of the configuration at random control daemons.
func (w *World) StartReaders(interval time.Duration) {
	daemons := w.daemons(wire.ControlDaemon)
	if p := daemons[w.random.IntN(len(daemons))]; p.alive && !w.callers.stopped {
		w.call(p, "GET", "/v1/config", "", nil, "", w.ignoreReply)
	}
	w.schedule(interval/2+time.Duration(w.random.Int64N(int64(interval))), func() { w.StartReaders(interval) })
}

// StartDomainReaders starts periodic reads of the domains at random control daemons.
func (w *World) StartDomainReaders(interval time.Duration) {
	if p := w.pickProcess(wire.ControlDaemon, true); p != nil && !w.callers.stopped {
		w.call(p, "GET", domainsPath, "", nil, "", w.ignoreReply)
	}
	w.schedule(interval, func() { w.StartDomainReaders(interval) })
}

// recordDiskLoss records the loss of a control daemon's disk. If at least half of the disks are lost within diskLossWindow,
// the history allows that committed changes which were not acknowledged are lost too.
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
		w.checks.domains.Reset()
	}
}

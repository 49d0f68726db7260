// This file records the operators' calls for the configuration and checks at a day's end
// that they are linearizable; see package linearizability.

package simulator

import (
	"encoding/json"
	"fmt"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
	"net/url"
	"strconv"
	"strings"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/verification/linearizability"
)

// changesConfiguration says whether a call changes the configuration if it is taken.
func changesConfiguration(method, path string) bool {
	return method != "GET" && (strings.HasPrefix(path, "/v1/config") || strings.HasPrefix(path, "/v1/policies/"))
}

// readsConfiguration says whether a call reads the configuration in force.
func readsConfiguration(method, path string) bool { return method == "GET" && path == "/v1/config" }

// record takes a call into the history; what it returns is told the answer.
func (w *World) record(method, path, query string, body []byte, token string) func(statemachine.Reply) {
	switch {
	case readsConfiguration(method, path) && query == "":
		read := w.history.Read(w.now)
		return func(r statemachine.Reply) { w.recordRead(read, r) }
	case changesConfiguration(method, path):
		write := w.history.Write(w.now, orderOf(method, path, query, body, token))
		return func(r statemachine.Reply) { w.recordWrite(write, r) }
	}
	return func(statemachine.Reply) {}
}

// orderOf is a call as the history knows it. What the result of a partial change is, only
// the leader knows.
func orderOf(method, path, query string, body []byte, token string) linearizability.Change {
	text := canonicalOr(body)
	o := linearizability.Change{Base: queryNumber(query, "base"), Key: fmt.Sprintf("%s %s %s %s", method, path, query, text), Token: token}
	if method == "PUT" && path == "/v1/config" {
		o.Value = text
	}
	return o
}

// queryNumber is a number in a call's query, 0 if it is not there.
func queryNumber(query, key string) uint64 {
	values, err := url.ParseQuery(query)
	if err != nil {
		return 0
	}
	n, err := strconv.ParseUint(values.Get(key), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// canonicalOr is one form for all documents that say the same, and any other text as it is.
func canonicalOr(doc []byte) string {
	if c, err := config.Canonical(doc); err == nil {
		return string(c)
	}
	return string(doc)
}

func (w *World) recordRead(read *linearizability.Operation, r statemachine.Reply) {
	var v struct {
		Revision uint64          `json:"revision"`
		Config   json.RawMessage `json:"config"`
	}
	if r.Status != 200 || json.Unmarshal(r.Body, &v) != nil {
		read.Void(w.now)
		return
	}
	value := ""
	if v.Revision > 0 && len(v.Config) > 0 {
		value = canonicalOr(v.Config)
	}
	read.Return(w.now, v.Revision, value)
}

func (w *World) recordWrite(write *linearizability.Operation, r statemachine.Reply) {
	switch r.Status {
	case 200:
		write.Acknowledge(w.now, revisionOf(r))
	case 412:
		var v struct {
			Error struct {
				Revision uint64 `json:"revision"`
			} `json:"error"`
		}
		if json.Unmarshal(r.Body, &v) != nil {
			v.Error.Revision = 0 // fits any revision
		}
		write.Reject(w.now, v.Error.Revision)
	case 504: // open: it may take effect at any later time, or never
	default:
		write.Void(w.now)
	}
}

// CheckHistory breaks a rule unless all that operators were told fits one order of events.
func (w *World) CheckHistory() {
	if err := w.history.Check(); err != nil && w.Failure == "" {
		w.broken("history", "%v", err)
	}
}

// Readers has an operator read the configuration again and again, at any member.
func (w *World) StartReaders(every time.Duration) {
	cores := w.all(wire.ControlDaemon)
	if p := w.procs[cores[w.rnd.IntN(len(cores))]]; p.alive && !w.quiet {
		w.call(p, "GET", "/v1/config", "", nil, "", func(statemachine.Reply) {})
	}
	w.at(every/2+time.Duration(w.rnd.Int64N(int64(every))), func() { w.StartReaders(every) })
}

// loseMajority tells the history when a majority of the core's disks is gone at once: what
// had been agreed and not acknowledged may go with them.
func (w *World) loseMajority(p *Process) {
	if p.kind != wire.ControlDaemon {
		return
	}
	p.wipedAt = w.now
	wiped, cores := 0, len(w.all(wire.ControlDaemon))
	for _, o := range w.procs { // those that were replaced are not among the names any more
		if o.kind == wire.ControlDaemon && o.wipedAt > 0 && w.now-o.wipedAt < wipeSpan {
			wiped++
		}
	}
	if 2*wiped >= cores {
		w.history.ForgetUnacknowledged(w.acked)
	}
}

// wipeSpan is how far apart disks are lost that count as lost at once.
const wipeSpan = 30 * time.Second

// ignore is for calls whose answers only the history looks at.
func (w *World) ignore(statemachine.Reply) {}

// Guards of the core's answers that a test takes out of the simulated shell.
const (
	// followersAnswer: a member that does not lead answers reads from its own state.
	followersAnswer = "followers answer"
	// answerBeforeMajority: a leader acknowledges a change before a majority has it.
	answerBeforeMajority = "answer before majority"
	// repetitionRefused: an order that was taken is refused when it is sent again.
	repetitionRefused = "repetition refused"
	// clockOfTheCall: the time that a step goes by is read before its event is waited for,
	// so a process that stood still in between believes in a lease that is over.
	clockOfTheCall = "clock of the call"
)

// spoilCall answers a call in the place of a member whose guard is out, if that is so.
func (w *World) spoilCall(p *Process, a statemachine.Call) (statemachine.Reply, bool) {
	if p.core == nil || !p.alive || p.frozen {
		return statemachine.Reply{}, false
	}
	base := queryNumber(a.Query, "base")
	switch {
	case w.sabotage == followersAnswer && readsConfiguration(a.Method, a.Path):
		return statemachine.Reply{ID: a.ID, Status: 200, Body: fmt.Appendf(nil, `{"revision":%d}`, p.core.Revision())}, true
	case w.sabotage == answerBeforeMajority && changesConfiguration(a.Method, a.Path) && p.core.Leading() && base == p.core.Revision():
		w.deliver(p, a)
		return statemachine.Reply{ID: a.ID, Status: 200, Body: fmt.Appendf(nil, `{"revision":%d}`, base+1)}, true
	case w.sabotage == repetitionRefused && changesConfiguration(a.Method, a.Path) && p.core.Leading() && base < p.core.Revision():
		return statemachine.Reply{ID: a.ID, Status: 412, Body: fmt.Appendf(nil, `{"error":{"revision":%d}}`, p.core.Revision())}, true
	}
	return statemachine.Reply{}, false
}

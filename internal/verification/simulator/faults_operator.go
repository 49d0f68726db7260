package simulator

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// operatorFaults are operators' changes, planned restarts and replacements, and combinations of these with faults.
var operatorFaults = []Fault{
	{"config", func(w *World) {
		if p := w.pickProcess(wire.ControlDaemon, true); p != nil {
			w.putNextConfig(p)
		}
	}},
	{"config patch", func(w *World) {
		if p := w.pickProcess(wire.ControlDaemon, true); p != nil {
			base := w.Revision()
			patch := fmt.Sprintf(`{"services":{"%s":{"timeout_ms":%d}}}`, w.services()[0], timeoutBase+w.random.IntN(1000))
			w.SendChange(p, "PATCH", "/v1/config", fmt.Sprintf("base=%d", base), []byte(patch), configChange(base))
		}
	}},
	{"config rolled back", func(w *World) {
		if p := w.pickProcess(wire.ControlDaemon, true); p != nil {
			base := w.Revision()
			w.SendChange(p, "POST", "/v1/config/rollback", fmt.Sprintf("base=%d&to=%d", base, max(1, base-1)), nil, configChange(base))
		}
	}},
	{"policy replaced", (*World).replacePolicies},
	{"member replaced by operator", (*World).swapMember},
	{"control daemons restarted in turn", func(w *World) {
		if w.expendableControlDaemon() == nil {
			return
		}
		w.logf("control daemons restart one after another")
		for i, p := range w.daemons(wire.ControlDaemon) {
			w.schedule(time.Duration(i)*8500*time.Millisecond, func() {
				if w.expendableControlDaemon() != nil {
					w.restartGracefully(p, 1500*time.Millisecond)
				}
			})
		}
	}},
	{"all proxies killed", func(w *World) {
		w.logf("kill all proxies at once")
		w.killAndRestartAll(w.daemons(wire.ProxyDaemon), 100, 1000)
	}},
	{"config burst", func(w *World) {
		for i := range 4 {
			w.schedule(time.Duration(i)*40*time.Millisecond, func() {
				if p := w.pickProcess(wire.ControlDaemon, true); p != nil {
					w.putNextConfig(p)
				}
			})
		}
	}},
	{"config pair", func(w *World) {
		base := w.Revision()
		for range 2 {
			if p := w.pickProcess(wire.ControlDaemon, true); p != nil {
				w.PutConfig(p, base, w.nextDocumentNumber())
			}
		}
	}},
	{"config invalid", func(w *World) {
		if p := w.pickProcess(wire.ControlDaemon, true); p != nil {
			document := []byte(`{"services":{"fares":{"cap":0}},"junk":1}`)
			w.SendChange(p, "PUT", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), document, &change{kind: changeInvalid})
		}
	}},
	{"config change, then leader killed", func(w *World) {
		p := w.expendableLeader()
		if p == nil {
			return
		}
		w.putNextConfig(p)
		w.schedule(w.randomMilliseconds(0, 30), func() {
			if w.expendableControlDaemon() != nil {
				w.killAndRestart(p, 200, 4000)
			}
		})
	}},
	{"domain emptied and restored", (*World).emptyAndRestoreDomain},
	{"many successive changes", func(w *World) { w.changeRepeatedly(successiveChangeInterval, w.randomMilliseconds(2000, 6000)) }},
	{"replies to changes lost", func(w *World) { w.loseReplies(w.randomMilliseconds(2000, 6000)) }},
	{"eight concurrent changes", (*World).changeConcurrently},
}

// lateCalls is the fault that the network holds calls of an operator that gives them up. From the first one on the domains are
// read periodically, for the check of their history. It is drawn only where it is named, so that the other runs remain the same.
var lateCalls = Fault{"changes of a domain given up and overtaken", (*World).overtakeDomainChanges}

// replacePolicies replaces the default policy, and shortly afterwards adds a policy in shadow mode.
func (w *World) replacePolicies() {
	base, p := w.Revision(), w.pickProcess(wire.ControlDaemon, true)
	if p == nil {
		return
	}
	policies := []string{`{"slice":"probe","when":"misses_in_row >= 2","clear":"ok_in_row >= 1","decide":"bar","ttl_ms":30000,"note":"anew"}`,
		`{"slice":"probe","when":"misses_in_row >= 2 && missed >= 2","clear":"ok_in_row >= 1","decide":"bar","ttl_ms":20000}`}
	w.putPolicy(p, "default", policies[w.random.IntN(2)], base)
	w.schedule(200*time.Millisecond, func() {
		if p := w.pickProcess(wire.ControlDaemon, true); p != nil {
			w.putPolicy(p, "flap", `{"slice":"probe","when":"flaps > 8","decide":"bar","ttl_ms":5000,"mode":"shadow"}`, w.Revision())
		}
	})
}

func (w *World) putPolicy(p *Process, name, policy string, base uint64) {
	w.SendChange(p, "PUT", "/v1/policies/"+name, fmt.Sprintf("base=%d", base), []byte(policy), configChange(base))
}

// memberChange is an operator's action on a member of the control plane, as it is named in the API's path.
type memberChange string

const (
	addMember    memberChange = "add"
	removeMember memberChange = "remove"
)

// maxMemberChangeAttempts is the maximum number of attempts of a membership change.
const maxMemberChangeAttempts = 30

// swapMember starts a new control daemon. An operator adds it as a member and then removes another member.
func (w *World) swapMember() {
	old := w.expendableControlDaemon()
	if old == nil || w.processes.swapping || w.Leader() == nil {
		return
	}
	w.processes.swapping = true
	name := fmt.Sprintf("c%d", 20+len(w.processes.names))
	w.addAndStart(wire.ControlDaemon, name, w.random.IntN(w.Plan.Domains))
	w.logf("%s is replaced by %s", old.name, name)
	w.schedule(time.Second, func() {
		w.changeMember(addMember, name, maxMemberChangeAttempts, func() {
			w.changeMember(removeMember, old.name, maxMemberChangeAttempts, func() {
				w.logf("%s is removed", old.name)
				w.Kill(old)
				w.forgetMachine(old)
			})
		})
	})
}

// changeMember asks the current leader to add or remove a member, repeatedly until it succeeds, and then calls after. It gives up
// after the given number of attempts.
func (w *World) changeMember(what memberChange, name string, attempts int, after func()) {
	if attempts == 0 {
		return
	}
	retry := func() {
		w.schedule(500*time.Millisecond, func() { w.changeMember(what, name, attempts-1, after) })
	}
	leader := w.Leader()
	if leader == nil {
		retry()
		return
	}
	w.call(leader, "POST", "/v1/core/"+name+"/"+string(what), "", nil, "", func(r statemachine.Reply) {
		if r.Status == http.StatusOK || r.Status == http.StatusConflict && what == addMember {
			after()
		} else {
			retry()
		}
	})
}

// emptyAndRestoreDomain lets an operator empty a domain and restore it later.
func (w *World) emptyAndRestoreDomain() {
	p, domain, ok := w.domainToChange()
	if !ok {
		return
	}
	w.SendChange(p, "POST", "/v1/domains/"+domain+"/empty", "", nil, emptyChange(domain))
	w.schedule(w.randomMilliseconds(3000, 8000), func() { w.restoreDomain(domain) })
}

// domainToChange returns a random domain and a control daemon to which an operator may send changes of it. ok is false if there
// is no such daemon, or if a domain was emptied or restored in the last 12 s.
func (w *World) domainToChange() (p *Process, domain string, ok bool) {
	if p = w.pickProcess(wire.ControlDaemon, true); p == nil {
		return nil, "", false
	}
	domain = w.randomDomain()
	lately := func(c *change) bool { return c.domain != "" && w.now-c.sentAt < 12*time.Second }
	return p, domain, !slices.ContainsFunc(w.operators.changes, lately)
}

// overtakeDomainChanges lets an operator empty, restore and empty a domain as fast as the changes are acknowledged, while the
// network holds calls. The operator gives up those that it gets no reply to, and they arrive after later changes.
func (w *World) overtakeDomainChanges() {
	_, domain, ok := w.domainToChange()
	if !ok {
		return
	}
	if w.operators.callsHeldUntil == 0 {
		w.StartDomainReaders(readInterval)
	}
	w.operators.callsHeldUntil = w.now + maxCallHold
	w.changeDomainInTurn(domain, []changeKind{changeEmpty, changeRestore, changeEmpty})
}

// changeDomainInTurn sends changes of a domain to random control daemons, each once the one before is acknowledged, and restores
// the domain in the end.
func (w *World) changeDomainInTurn(domain string, kinds []changeKind) {
	p := w.pickProcess(wire.ControlDaemon, true)
	if len(kinds) == 0 || p == nil {
		w.schedule(w.randomMilliseconds(3000, 8000), func() { w.restoreDomain(domain) })
		return
	}
	sent := &change{kind: kinds[0], domain: domain}
	w.SendChange(p, "POST", "/v1/domains/"+domain+"/"+string(kinds[0]), "", nil, sent)
	w.whenAnswered(sent, func() {
		if sent.state != changeAccepted {
			kinds = nil
		} else {
			kinds = kinds[1:]
		}
		w.changeDomainInTurn(domain, kinds)
	})
}

// whenAnswered calls a function once the outcome of a change is known, or no longer expected.
func (w *World) whenAnswered(sent *change, then func()) {
	const interval, latest = 50 * time.Millisecond, 2 * (maxResends + 1) * callerPatience
	if sent.state != changeOpen || w.now-sent.sentAt > latest {
		then()
		return
	}
	w.schedule(interval, func() { w.whenAnswered(sent, then) })
}

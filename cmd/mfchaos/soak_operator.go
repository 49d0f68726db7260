// This file implements the operator of a soak. It changes the configuration and empties failure domains with short pauses, and sends
// each call again until it has a conclusive reply. It also checks that acknowledged changes survive the loss of all processes.

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

const (
	meanChangePause     = 150 * time.Millisecond // between two actions
	changeRetryInterval = 50 * time.Millisecond
	changeTimeout       = 2 * time.Second  // for one reply
	changeGiveUpAfter   = 20 * time.Second // until a call counts as unanswered: all control daemons may be down for a while
	recoverWait         = 15 * time.Second // for the fleet to serve after the restart of all daemons
)

// soakOperator sends an operator's calls and keeps the acknowledged state.
type soakOperator struct {
	soak     *soak
	random   *rand.Rand
	stop     chan struct{}
	running  sync.WaitGroup
	revision int             // newest configuration revision that was acknowledged, or read after an unknown outcome; 0: none yet
	document []byte          // configuration of that revision; nil: unknown
	emptied  map[string]bool // by domain; true: acknowledged as emptied, false: the outcome of the last call is unknown
}

// newOperator returns an operator with the random source of a part of the run.
func (s *soak) newOperator(part uint64) *soakOperator {
	return &soakOperator{soak: s, random: s.options.random(part), stop: make(chan struct{}), emptied: map[string]bool{}}
}

// startOperator starts an operator.
func (s *soak) startOperator() *soakOperator {
	o := s.newOperator(2)
	o.running.Go(o.run)
	return o
}

// isStopped reports whether finish was called.
func (o *soakOperator) isStopped() bool {
	select {
	case <-o.stop:
		return true
	default:
		return false
	}
}

// sleep waits for a time, or until finish is called.
func (o *soakOperator) sleep(duration time.Duration) {
	select {
	case <-o.stop:
	case <-time.After(duration):
	}
}

// finish stops the operator after its current action.
func (o *soakOperator) finish() {
	close(o.stop)
	o.running.Wait()
}

// run changes the configuration until it is stopped; every eighth action empties or restores a failure domain.
func (o *soakOperator) run() {
	for i := 0; ; i++ {
		o.sleep(time.Duration(o.random.Int64N(int64(2 * meanChangePause))))
		if o.isStopped() {
			return
		}
		if i%8 == 7 {
			o.emptyOrRestore()
		} else {
			o.change()
		}
	}
}

// send sends one call to a control daemon and returns the reply; the status is 0 if there was none.
func (o *soakOperator) send(control *process, method, path string, body []byte) (status int, reply []byte) {
	request, err := http.NewRequest(method, "http://"+control.http+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := (&http.Client{Timeout: changeTimeout}).Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	reply, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, reply
}

// sendUntilConclusive sends a call to random control daemons until a reply has a status from 200 to 499. If there is none
// within changeGiveUpAfter, it returns status 0.
func (o *soakOperator) sendUntilConclusive(method, path string, body []byte) (status int, reply []byte) {
	for started := time.Now(); time.Since(started) < changeGiveUpAfter; {
		control := o.soak.controls[o.random.IntN(len(o.soak.controls))]
		status, reply = o.send(control, method, path, body)
		if status >= 200 && status < 500 {
			return status, reply
		}
		time.Sleep(changeRetryInterval)
	}
	o.soak.log.add(eventUnanswered, "")
	return 0, nil
}

// change sends a different configuration that is based on the newest acknowledged revision.
func (o *soakOperator) change() {
	doc, err := config.MergePatch(o.soak.config, fmt.Appendf(nil, `{"limits":{"body_bytes":%d}}`, tuning.BodyMaxDefault-o.random.IntN(tuning.BodyMaxDefault/2)))
	if err != nil {
		o.soak.recordViolation(ruleTestEnvironment, "%v", err)
		return
	}
	if o.revision == 0 {
		o.revision, _ = o.readConfig()
	}
	status, reply := o.sendUntilConclusive(http.MethodPut, "/v1/config?base="+strconv.Itoa(o.revision), doc)
	var v struct {
		Revision int `json:"revision"`
	}
	switch {
	case status == http.StatusOK && json.Unmarshal(reply, &v) == nil && v.Revision > o.revision:
		o.revision, o.document = v.Revision, doc
		o.soak.log.add(eventChange, "")
	case status == 0:
		// The change may or may not be in force: continue from the revision that is read.
		if revision, text := o.readConfig(); revision > o.revision {
			o.revision, o.document = revision, text
		}
	default:
		o.soak.recordViolation(ruleChangeAccepted, "a valid change on revision %d, the newest acknowledged one, was not accepted: status %d, %.200s", o.revision, status, reply)
		o.revision, o.document = o.readConfig()
	}
}

// readConfig reads the configuration in force; the revision is 0 if no control daemon replies.
func (o *soakOperator) readConfig() (revision int, doc []byte) {
	for started := time.Now(); time.Since(started) < changeGiveUpAfter; time.Sleep(changeRetryInterval) {
		for _, control := range o.soak.controls {
			status, reply := o.send(control, http.MethodGet, "/v1/config", nil)
			var v struct {
				Revision int             `json:"revision"`
				Config   json.RawMessage `json:"config"`
			}
			if status == http.StatusOK && json.Unmarshal(reply, &v) == nil {
				return v.Revision, v.Config
			}
		}
	}
	return 0, nil
}

// emptyOrRestore empties one failure domain, which drains its targets: they get no new requests. If a domain is emptied already,
// it restores that one instead.
func (o *soakOperator) emptyOrRestore() {
	for domain, confirmed := range o.emptied {
		if !confirmed {
			continue
		}
		if status, _ := o.sendUntilConclusive(http.MethodPost, "/v1/domains/"+domain+"/restore", nil); status == http.StatusOK {
			delete(o.emptied, domain)
		} else {
			o.emptied[domain] = false // the outcome is unknown
		}
		return
	}
	domains := o.soak.deployment.Domains
	domain := domains[o.random.IntN(len(domains))]
	if _, unknown := o.emptied[domain]; unknown {
		return
	}
	if status, _ := o.sendUntilConclusive(http.MethodPost, "/v1/domains/"+domain+"/empty", nil); status == http.StatusOK {
		o.emptied[domain] = true
	} else {
		o.emptied[domain] = false
	}
}

// checkAfterLoss kills all daemons at once, deletes the data of one control daemon if there are at least three, restarts them
// and checks that what was acknowledged is still there.
func (o *soakOperator) checkAfterLoss() {
	run := o.soak
	daemons := slices.Concat(run.controls, run.proxies)
	for _, p := range daemons {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range daemons {
		p.kill()
	}
	if len(run.controls) > 2 {
		os.RemoveAll(run.path("data", run.controls[o.random.IntN(len(run.controls))].name))
	}
	for _, p := range daemons {
		run.restart(p)
	}
	end := time.Now().Add(recoverWait)
	revision, doc := o.readConfig()
	switch {
	case time.Now().After(end):
		run.recordViolation(ruleRecoveryTime, "the configuration can't be read within %v of the restart of all daemons", recoverWait)
	case revision < o.revision:
		run.recordViolation(ruleDurability, "revision %d is in force, but %d was acknowledged", revision, o.revision)
	case revision == o.revision && o.document != nil && canonical(doc) != canonical(o.document):
		run.recordViolation(ruleDurability, "revision %d has another content than was acknowledged", revision)
	}
	for domain, confirmed := range o.emptied {
		if confirmed && !slices.Contains(o.readEmptiedDomains(), domain) {
			run.recordViolation(ruleDurability, "domain %s was acknowledged as emptied and is not any more", domain)
		}
	}
	for domain := range o.emptied {
		o.sendUntilConclusive(http.MethodPost, "/v1/domains/"+domain+"/restore", nil)
	}
	if err := run.awaitServing(recoverWait); err != nil {
		run.recordViolation(ruleRecoveryTime, "after the restart of all daemons: %v", err)
	}
}

// readEmptiedDomains returns the emptied domains, or nil if no control daemon replies.
func (o *soakOperator) readEmptiedDomains() []string {
	for started := time.Now(); time.Since(started) < recoverWait; time.Sleep(changeRetryInterval) {
		for _, control := range o.soak.controls {
			if emptied, known := o.readEmptied(control); known {
				return emptied
			}
		}
	}
	return nil
}

// readEmptied returns the emptied domains that a control daemon reports. known is false if it has no conclusive reply.
func (o *soakOperator) readEmptied(control *process) (emptied []string, known bool) {
	status, reply := o.send(control, http.MethodGet, "/v1/domains", nil)
	var v struct {
		Emptied []string `json:"emptied"`
	}
	if status != http.StatusOK || json.Unmarshal(reply, &v) != nil {
		return nil, false
	}
	return v.Emptied, true
}

package main

import (
	"fmt"
	"sync"
	"time"
)

// Dose of the disruption of case 3: how many of 1000 answers the targets in trouble break off, and for how long.
const (
	breakOffPerMille = 30
	breakOffTime     = 6 * time.Second
	breakOffRounds   = 3
	unansweredMax    = 3  // requests that the rule allows
	breakReaders     = 10 // clients
)

// pipelineBreak plays case 3. Clients that send further repeatable requests before the first has been answered read long
// answers. Half of the targets break off a few of their answers. The rule LOST must hold: of the requests that a proxy passes
// on from a kept connection to a sound target, no more than three end with a closed connection and without an answer.
func pipelineBreak(w *world) (held bool, err error) {
	if _, err := w.startServing(); err != nil {
		return false, err
	}
	sound := map[string]bool{} // by the id of the request that ran
	for _, t := range w.targets {
		t.answerBytes.Store(largeAnswer)
	}
	proxy := w.fleet.withRole("gate")[0]
	addr := fmt.Sprintf("%s:%d", proxy.ip, w.fleet.ports.callers)
	var readers []*pipelineClient
	var wait sync.WaitGroup
	done := make(chan struct{})
	for n := range breakReaders {
		c := &pipelineClient{record: w.record, name: fmt.Sprintf("pipeline-%d", n), depth: readerDepth, ids: &w.ids, done: done, addrs: []string{addr}}
		readers = append(readers, c)
		wait.Go(c.run)
	}
	time.Sleep(contact + 2*time.Second)
	from := w.record.now()
	inTrouble := w.halfOfTargets(plainService)
	for range breakOffRounds {
		if w.trouble {
			for t := range inTrouble {
				t.breakOff.Store(breakOffPerMille)
			}
		}
		time.Sleep(breakOffTime)
		for t := range inTrouble {
			t.breakOff.Store(0)
		}
		time.Sleep(clientTimeout)
	}
	until := w.record.now()
	close(done)
	wait.Wait()
	for _, t := range w.targets {
		for _, a := range t.runs() {
			sound[a.attempt] = !inTrouble[t]
		}
	}
	unanswered := 0
	for _, c := range readers {
		for _, r := range c.finished() {
			if r.sentAt < from || r.sentAt > until || r.status != 0 || !r.kept || !sound[r.id] {
				continue
			}
			unanswered++
			w.record.announcef("no answer: %s, sent at %.3f on a kept connection, run by a sound server, connection closed at %.3f", r.id, r.sentAt.Seconds(), r.finishedAt.Seconds())
		}
	}
	w.record.announcef("%d requests of kept connections were passed on to a sound server and got no answer; the rule allows %d", unanswered, unansweredMax)
	return unanswered <= unansweredMax, nil
}

// halfOfTargets returns half of the targets of a service.
func (w *world) halfOfTargets(service string) map[*target]bool {
	half, count := map[*target]bool{}, 0
	for _, t := range w.targets {
		if t.service != service {
			continue
		}
		if count++; count%2 == 0 {
			half[t] = true
		}
	}
	return half
}

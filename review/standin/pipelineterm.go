package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// largeAnswer is the length of an answer in case 2, in bytes: the largest one of the site's sister deployment.
const largeAnswer = 540_000

// The clients of case 2, and how many requests each has unanswered at a time.
const (
	readerCount = 10
	readerDepth = 3
)

// pipelineTerm plays case 2. Clients that send further repeatable requests before the first has been answered read long
// answers. The proxy that they are connected to gets SIGTERM. The rule LOST must hold: no answer to a request that was passed
// on to a target may end early.
func pipelineTerm(w *world) (held bool, err error) {
	if _, err := w.startServing(); err != nil {
		return false, err
	}
	for _, t := range w.targets {
		t.answerBytes.Store(largeAnswer)
	}
	proxies := w.fleet.withRole("gate")
	stopped := proxies[0]
	addr := func(m *daemonProcess) string { return fmt.Sprintf("%s:%d", m.ip, w.fleet.ports.callers) }
	var readers []*pipelineClient
	var wait sync.WaitGroup
	done := make(chan struct{})
	for n := range readerCount {
		c := &pipelineClient{record: w.record, name: fmt.Sprintf("pipeline-%d", n), depth: readerDepth, ids: &w.ids, done: done,
			addrs: []string{addr(stopped), addr(proxies[1])}}
		readers = append(readers, c)
		wait.Go(c.run)
	}
	time.Sleep(5 * time.Second)
	stoppedAt := w.record.now()
	for _, c := range readers {
		c.moved.Store(true) // a ready proxy of the zone takes their new connections from now on
	}
	if w.trouble {
		w.fleet.signal(stopped, syscall.SIGTERM)
	}
	time.Sleep(grace + time.Second)
	until := w.record.now()
	close(done)
	ran := w.runsByID()
	lost := 0
	for _, c := range readers {
		for _, r := range c.finished() {
			if r.finishedAt < stoppedAt || r.finishedAt > until || r.complete || ran[r.id] == 0 {
				continue
			}
			lost++
			w.record.announcef("lost: %s, sent at %.3f, passed on to a server, status %d, %d of %d bytes until %.3f: %v",
				r.id, r.sentAt.Seconds(), r.status, r.received, r.announced, r.finishedAt.Seconds(), r.err)
		}
	}
	w.record.announcef("%d requests lost after the SIGTERM at %.3f", lost, stoppedAt.Seconds())
	return lost == 0, nil
}

// runsByID returns how often each request was run, by its id.
func (w *world) runsByID() map[string]int {
	runs := map[string]int{}
	for _, t := range w.targets {
		for _, a := range t.runs() {
			runs[a.attempt]++
		}
	}
	return runs
}

// Standin plays the cases of the review: it starts the daemons of the system under test as separate processes on loopback
// addresses, and is itself the platform, the operator, the clients and the servers.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld      = 0
	ruleBroken    = 1
	couldNotRun   = 2
	playableLimit = 110 * time.Second // a case that is not over by then could not run
)

// The size of the deployment, that of the site kfh-gateway (with a control daemon in each zone), and the interval between the
// requests to each proxy.
const (
	proxiesPerZone = 4
	requestEvery   = 120 * time.Millisecond
)

// targetServices are the services of the targets of each zone.
var targetServices = []string{plainService, signedService, plainService, signedService, plainService, plainService}

// world is what a case plays with.
type world struct {
	record  *record
	fleet   *fleet
	targets []*target
	clients []*clients
	ids     atomic.Int64
	trouble bool // false: the case without its disruption
}

// cases maps the number of a case to its function, which returns whether the rule held.
var cases = map[int]func(*world) (held bool, err error){
	1: lateRestore,
	2: pipelineTerm,
	3: pipelineBreak,
}

func main() {
	number := flag.Int("case", 1, "number of the case")
	folder := flag.String("folder", ".", "folder of the case, for the record")
	root := flag.String("root", ".", "root of the repository")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(run(*number, *folder, *root, *trouble))
}

// run plays a case and returns the exit code.
func run(number int, folder, root string, trouble bool) int {
	play := cases[number]
	if play == nil {
		fmt.Fprintf(os.Stderr, "there is no case %d\n", number)
		return couldNotRun
	}
	rec, err := openRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	w := &world{record: rec, trouble: trouble}
	defer w.stop()
	type result struct {
		held bool
		err  error
	}
	results := make(chan result, 1)
	go func() {
		if w.fleet, err = newFleet(rec, root, dir, proxiesPerZone); err != nil {
			results <- result{false, err}
			return
		}
		held, err := play(w)
		results <- result{held, err}
	}()
	select {
	case r := <-results:
		switch {
		case r.err != nil:
			rec.announcef("the case could not run: %v", r.err)
			return couldNotRun
		case r.held:
			rec.announcef("the rule held")
			return ruleHeld
		}
		rec.announcef("the rule was broken")
		return ruleBroken
	case <-time.After(playableLimit):
		rec.announcef("the case could not run: it took too long")
		return couldNotRun
	}
}

// startServing starts the daemons and the targets, has the operator send the first configuration, and starts the clients.
func (w *world) startServing() (*operator, error) {
	if err := w.fleet.start(); err != nil {
		return nil, err
	}
	for i, zone := range zones {
		for n, service := range targetServices {
			ip := fmt.Sprintf("%s.%d", w.fleet.prefix, 100+10*i+n)
			t, err := startTarget(w.record, fmt.Sprintf("i-%s-%d", zone, n), service, zone, ip, w.fleet.seeds, 50*time.Millisecond)
			if err != nil {
				return nil, err
			}
			w.targets = append(w.targets, t)
		}
	}
	op := &operator{record: w.record, daemons: w.fleet.seeds}
	if status, _ := op.call("PUT", "/v1/config", "0", configuration(3, clientTimeout), 30*time.Second); status != 200 {
		return nil, fmt.Errorf("the first configuration got %d", status)
	}
	if err := w.fleet.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	for _, m := range w.fleet.withRole("gate") {
		addr := fmt.Sprintf("%s:%d", m.ip, w.fleet.ports.callers)
		w.clients = append(w.clients, startClients(w.record, addr, requestEvery, &w.ids))
	}
	return op, nil
}

// stop ends the clients, the targets and the daemons.
func (w *world) stop() {
	for _, c := range w.clients {
		c.stop()
	}
	if w.fleet != nil {
		w.fleet.stop()
	}
	for _, t := range w.targets {
		t.stop()
	}
}

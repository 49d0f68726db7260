// This file makes several processes fail at once: by a power loss, a network partition or the loss of all state.

package main

import (
	"os"
	"slices"
	"time"
)

// cutPower kills all processes of a random domain for a while. With loseDisks it also deletes their data.
func (f *fleet) cutPower(loseDisks bool) {
	domain := f.deployment.Domains[f.random.IntN(len(f.deployment.Domains))]
	f.logf("domain %s loses power; loses its disks too: %v", domain, loseDisks)
	var off []*process
	for _, p := range slices.Concat(f.controls, f.proxies, f.backends) {
		if p.domain == domain && !p.stopped {
			p.kill()
			off = append(off, p)
			if loseDisks {
				os.RemoveAll(f.path("data", p.name))
			}
		}
	}
	f.sleepBetween(2000, 5000)
	for _, p := range off {
		f.restart(p)
	}
}

// isolate cuts some processes off from all others for a random time between two bounds in ms. It holds back the data that
// they send if outbound is set, and the data that they receive if inbound is set.
func (f *fleet) isolate(isolated []*process, outbound, inbound bool, minMs, maxMs int) {
	var others []*process
	for _, p := range slices.Concat(f.controls, f.proxies, f.backends) {
		if !slices.Contains(isolated, p) {
			others = append(others, p)
		}
	}
	f.network.setCuts(directedPairs(isolated, others, outbound, inbound))
	f.sleepBetween(minMs, maxMs)
	f.network.setCuts(nil)
}

// loseAllState kills all daemons and deletes their data at the end of a run, and checks that the fleet can be configured
// and serves again within 15 s.
func (f *fleet) loseAllState() {
	f.logf("kill all daemons and delete their data")
	f.history.Reset()
	for _, p := range slices.Concat(f.controls, f.proxies) {
		p.kill()
	}
	os.RemoveAll(f.path("data"))
	t := time.Now()
	for _, p := range slices.Concat(f.controls, f.proxies) {
		f.restart(p)
	}
	err := f.putInitialConfig(15 * time.Second)
	if err == nil {
		err = f.awaitServing(max(0, 15*time.Second-time.Since(t)))
	}
	if err != nil {
		f.recordViolation(ruleRecoveryTime, "after the loss of all state: %v", err)
		return
	}
	f.logf("serving again %.1f s after the loss of all state", time.Since(t).Seconds())
}

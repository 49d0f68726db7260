// This file names the kinds of faults that a day draws from, and what they share:
// cuts of links, and the choice of whom to hurt. The faults themselves stand in
// faults_target.go, faults_proxy.go, faults_core.go, faults_network.go and
// faults_operator.go.

package simulator

import (
	"cmp"
	"fmt"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
	"slices"
	"strings"
	"time"
)

// Fault is one kind of trouble; Do starts it and makes sure that it ends.
type Fault struct {
	Name   string
	Inject func(w *World)
}

// Faults are all kinds, by name. Days draw by index: new kinds go to the end of their list.
var Faults = slices.Concat(targetFaults, proxyFaults, coreFaults, networkFaults, operatorFaults)

// FaultByName finds a fault.
func FaultByName(name string) (Fault, bool) {
	i := slices.IndexFunc(Faults, func(f Fault) bool { return strings.EqualFold(f.Name, name) })
	if i < 0 {
		return Fault{}, false
	}
	return Faults[i], true
}

// usualPause is how long after a core machine's return or start the next may be lost,
// where the plan does not say.
const usualPause = 8 * time.Second

// lossPause is how long after a core machine's return or start the next may be lost.
func (w *World) lossPause() time.Duration { return cmp.Or(w.Plan.CatchUp, usualPause) }

// mayHurtCore picks a member whose loss leaves a sound majority, or none.
func (w *World) mayHurtCore() *Process {
	var up []*Process
	if w.replacing > 0 || w.replaced > 0 && w.now < w.coreCutUntil+w.lossPause() {
		return nil // machines that are cut off count as lost, and one that is gone can't come back instead
	}
	for _, n := range w.names {
		p := w.procs[n]
		if p.kind != wire.ControlDaemon {
			continue
		}
		if !p.alive || p.frozen || p.disk.stalled || p.disk.full || p.disk.refusing || w.now-p.since < w.lossPause() {
			return nil // one at a time: the others are the majority
		}
		up = append(up, p)
	}
	return up[w.rnd.IntN(len(up))]
}

func (w *World) isolate(names []string, d time.Duration, out, in bool) {
	w.log("cut off %v for %v (out %v, in %v)", names, d, out, in)
	var ks [][2]string
	others := slices.Clone(w.names)
	for _, t := range w.targets {
		others = append(others, t.name)
	}
	for _, a := range names {
		for _, b := range others {
			if !slices.Contains(names, b) {
				if out {
					ks = append(ks, [2]string{a, b})
				}
				if in {
					ks = append(ks, [2]string{b, a})
				}
			}
		}
	}
	w.cutFor(ks, d)
}

func (w *World) cutFor(ks [][2]string, d time.Duration) {
	for _, k := range ks {
		w.cut[k] = true
		if a, b := w.procs[k[0]], w.procs[k[1]]; a != nil && b != nil && a.core != nil && b.core != nil {
			w.coreCutUntil = max(w.coreCutUntil, w.now+d)
		}
	}
	w.at(d, func() {
		for _, k := range ks {
			delete(w.cut, k)
		}
	})
}

// cutDomain parts a domain's machines from all others; within it they talk on.
func (w *World) cutDomain(dom string, d time.Duration) {
	var in []string
	for _, n := range w.names {
		if w.procs[n].domain == dom {
			in = append(in, n)
		}
	}
	for _, t := range w.targets {
		if t.domain == dom {
			in = append(in, t.name)
		}
	}
	w.isolate(in, d, true, true)
}

func both(a, b string) [][2]string { return [][2]string{{a, b}, {b, a}} }

func (w *World) all(kind wire.DaemonKind) []string {
	return slices.DeleteFunc(slices.Clone(w.names), func(n string) bool { return w.procs[n].kind != kind })
}

func (w *World) domain() string { return fmt.Sprintf("d%d", 1+w.rnd.IntN(w.Plan.Domains)) }

// stop is the polite signal.
func (w *World) stop(p *Process) {
	w.Stats.GracefulStops++
	if w.sabotage == "stop" && p.gate != nil {
		w.exec(p, statemachine.Exit{})
		return
	}
	p.asked = true
	w.deliver(p, stopEvent)
}

// bounce stops a process politely, then hard if it is still there, and starts it again.
func (w *World) bounce(p *Process, after time.Duration) {
	gen := p.gen
	w.stop(p)
	w.at(after, func() {
		if p.gen == gen {
			w.Kill(p)
			w.Restart(p)
		}
	})
}

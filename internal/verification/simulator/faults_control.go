package simulator

import (
	"time"

	"myrtlefold/internal/shared/wire"
)

// The factors by which slow hardware takes longer than usual.
const (
	slowMachineFactor = 5  // of a slow machine, for everything
	slowDiskFactor    = 30 // of a slow disk, for a sync
)

// controlFaults are the faults of control daemons: kills, power failures, freezes, disk faults, slow machines and partitions.
var controlFaults = []Fault{
	{"control daemon killed", func(w *World) {
		if p := w.expendableControlDaemon(); p != nil {
			w.killAndRestart(p, 200, 4000)
		}
	}},
	{"all control daemons killed", func(w *World) {
		if w.expendableControlDaemon() == nil {
			return
		}
		if leader := w.Leader(); leader != nil && w.random.IntN(2) == 0 {
			w.putNextConfig(leader)
		}
		w.schedule(w.randomMilliseconds(0, 20), func() { w.killAndRestartAll(w.daemons(wire.ControlDaemon), 200, 2000) })
	}},
	{"all control daemons down for long, rolling restart of a service", func(w *World) {
		if w.expendableControlDaemon() == nil {
			return
		}
		w.killAndRestartAll(w.daemons(wire.ControlDaemon), 9000, 20000)
		w.schedule(time.Second, w.rollingRestart)
	}},
	{"power failure of the whole fleet", func(w *World) {
		if w.expendableControlDaemon() == nil {
			return
		}
		if leader := w.Leader(); leader != nil {
			w.putNextConfig(leader)
		}
		w.schedule(w.randomMilliseconds(0, 20), func() {
			w.logf("power failure of the whole fleet")
			w.killAndRestartAll(w.fleet(), 200, 2000)
		})
	}},
	{"leader killed", func(w *World) {
		if p := w.expendableLeader(); p != nil {
			w.killAndRestart(p, 200, 4000)
		}
	}},
	{"control daemon loses disk", func(w *World) {
		if p := w.expendableControlDaemon(); p != nil {
			w.Kill(p)
			w.WipeDisk(p)
			w.restartLater(p, w.randomMilliseconds(200, 3000))
		}
	}},
	{"leader restarted gracefully", func(w *World) {
		if p := w.expendableLeader(); p != nil {
			w.logf("stop %s", p.name)
			w.stopProcess(p)
			w.schedule(3*time.Second, func() { w.Kill(p); w.Restart(p) })
		}
	}},
	{"leader frozen", func(w *World) {
		if p := w.expendableLeader(); p != nil {
			w.Freeze(p, w.randomMilliseconds(300, 5000))
		}
	}},
	{"leader's disk stalls", func(w *World) {
		if p := w.expendableLeader(); p != nil {
			w.StallDisk(p, w.randomMilliseconds(300, 5000))
		}
	}},
	{"follower's disk stalls", func(w *World) {
		if p := w.expendableControlDaemon(); p != nil && p != w.Leader() {
			w.StallDisk(p, w.randomMilliseconds(300, 5000))
		}
	}},
	{"a majority's disks stall", func(w *World) {
		if w.expendableControlDaemon() == nil {
			return
		}
		for _, p := range w.daemons(wire.ControlDaemon)[1:] {
			w.StallDisk(p, w.randomMilliseconds(300, 3000))
		}
	}},
	{"control plane partitioned", (*World).splitControlPlane},
	{"leader isolated", func(w *World) {
		if p := w.Leader(); p != nil {
			w.isolate([]string{p.name}, w.randomMilliseconds(500, 5000), true, w.random.IntN(2) == 0)
		}
	}},
	{"leader partitioned from targets", (*World).partitionLeaderFromTargets},
	{"control plane partitioned from proxies", (*World).partitionControlPlaneFromProxies},
	{"control daemon connections reset", func(w *World) {
		for range 3 {
			w.schedule(w.randomMilliseconds(0, 1000), func() {
				w.logf("reset the connections of all control daemons")
				for _, p := range w.daemons(wire.ControlDaemon) {
					w.resetDaemonConnections(p)
				}
			})
		}
	}},
	{"control machine slow", func(w *World) {
		if p := w.pickProcess(wire.ControlDaemon, true); p != nil {
			w.slowProcess(p, slowMachineFactor, w.randomMilliseconds(2000, 10000))
		}
	}},
	{"leader's machine slow", func(w *World) {
		if p := w.Leader(); p != nil {
			w.slowProcess(p, slowMachineFactor, w.randomMilliseconds(2000, 10000))
		}
	}},
	{"control daemon's disk slow", func(w *World) {
		if p := w.pickProcess(wire.ControlDaemon, true); p != nil {
			w.slowDisk(p, slowDiskFactor, w.randomMilliseconds(2000, 10000))
		}
	}},
	{"leader's disk slow", func(w *World) {
		if p := w.Leader(); p != nil {
			w.slowDisk(p, slowDiskFactor, w.randomMilliseconds(2000, 10000))
		}
	}},
	{"control daemon's disk full", func(w *World) {
		if p := w.expendableControlDaemon(); p != nil {
			w.fillDisk(p, w.randomMilliseconds(1000, 6000))
		}
	}},
	{"two or three control daemons frozen", func(w *World) {
		for _, p := range w.twoOrThreeControlDaemons() {
			w.Freeze(p, w.randomMilliseconds(300, 20000))
		}
	}},
	{"two or three control daemons faulty", func(w *World) {
		for _, p := range w.twoOrThreeControlDaemons() {
			w.schedule(w.randomMilliseconds(0, 1500), func() { w.injectRandomFault(p) })
		}
	}},
	{"control machine replaced after a loss", func(w *World) { w.replaceRandomControlDaemon(false) }},
	{"control machine replaced as planned", func(w *World) { w.replaceRandomControlDaemon(true) }},
}

// expendableLeader returns the leader, or nil if there is none or its loss would leave no healthy majority.
func (w *World) expendableLeader() *Process {
	leader := w.Leader()
	if leader == nil || w.expendableControlDaemon() == nil {
		return nil
	}
	return leader
}

// splitControlPlane partitions the control daemons into two random halves.
func (w *World) splitControlPlane() {
	names := w.daemonNames(wire.ControlDaemon)
	w.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var links []link
	for _, a := range names[:len(names)/2] {
		for _, b := range names[len(names)/2:] {
			links = append(links, bothDirections(a, b)...)
		}
	}
	w.logf("partition control daemons %v from the others", names[:len(names)/2])
	w.partition(links, w.randomMilliseconds(500, 6000))
}

// partitionLeaderFromTargets blocks the links between the leader and about half of the targets.
func (w *World) partitionLeaderFromTargets() {
	leader := w.Leader()
	if leader == nil {
		return
	}
	w.logf("partition %s from about half of the targets", leader.name)
	var links []link
	for _, t := range w.targets.all {
		if w.random.IntN(2) == 0 {
			links = append(links, bothDirections(leader.name, t.name)...)
		}
	}
	w.partition(links, w.randomMilliseconds(1000, 6000))
}

// partitionControlPlaneFromProxies blocks the links between the control daemons and either all proxies or about half of them.
func (w *World) partitionControlPlaneFromProxies() {
	some := w.random.IntN(2) == 0
	w.logf("partition control daemons from proxies, only some: %v", some)
	var links []link
	for _, proxy := range w.daemonNames(wire.ProxyDaemon) {
		if some && w.random.IntN(2) == 0 {
			continue
		}
		for _, control := range w.daemonNames(wire.ControlDaemon) {
			links = append(links, bothDirections(control, proxy)...)
		}
	}
	w.partition(links, w.randomMilliseconds(1000, 6000))
}

// twoOrThreeControlDaemons returns two or three random control daemons that are running and not frozen.
func (w *World) twoOrThreeControlDaemons() []*Process {
	var running []*Process
	for _, p := range w.daemons(wire.ControlDaemon) {
		if p.alive && !p.frozen {
			running = append(running, p)
		}
	}
	w.random.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	return running[:min(len(running), 2+w.random.IntN(2))]
}

// injectRandomFault injects into a control daemon one fault of a random kind that ends by itself.
func (w *World) injectRandomFault(process *Process) {
	if !process.alive {
		return
	}
	span := w.randomMilliseconds(500, 8000)
	switch w.random.IntN(7) {
	case 0:
		w.Freeze(process, span)
	case 1:
		w.StallDisk(process, span)
	case 2:
		w.slowDisk(process, slowDiskFactor, span)
	case 3:
		w.slowProcess(process, slowMachineFactor, span)
	case 4:
		w.resetDaemonConnections(process)
	case 5:
		w.isolate([]string{process.name}, span, true, w.random.IntN(2) == 0)
	default:
		w.Kill(process)
		w.restartLater(process, span/2)
	}
}

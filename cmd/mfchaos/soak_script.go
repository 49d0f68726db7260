// This file implements the script of a soak. At random times drawn from a seed it stops proxies, control daemons and back ends,
// sends SIGHUPs and, with option faults, kills daemons; several may be down at once. One goroutine owns all processes while the
// script runs.

package main

import (
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"time"
)

const (
	scriptInterval    = 20 * time.Millisecond  // between two steps of the script
	quietGracePeriods = 2                      // number of grace periods at the end of the script in which no action starts
	restartPause      = 50 * time.Millisecond  // least time from a process's exit to its restart
	restartJitter     = 400 * time.Millisecond // bound of the random time added to restartPause
	stopSlack         = 500 * time.Millisecond // time that a busy machine may need beyond the grace period
)

// phase is the state of a process of the script.
type phase int

const (
	phaseUp       phase = iota
	phaseStopping       // after SIGTERM, until its exit
	phaseDown           // after its exit or SIGKILL, until its restart
	phaseFrozen         // after SIGSTOP, until its SIGCONT
)

// managedProcess is a process that the script stops and restarts.
type managedProcess struct {
	*process
	phase          phase
	signaledAt     time.Time // when it was sent SIGTERM, or SIGKILL after the grace period
	startAt        time.Time // when it is to be started again, or continued if it is frozen
	logSizeAtStart int64     // size of its log in bytes when it was last started; 0 for the first start
	wipe           bool      // its data is deleted before its next start
}

// processExit reports that a process has exited.
type processExit struct {
	process *managedProcess
	cmd     *exec.Cmd
	err     error
}

// recurringAction is an action that is done at random intervals.
type recurringAction struct {
	next time.Time
	gap  time.Duration // mean interval
	act  func()
}

// script holds the processes and recurring actions of a run.
type script struct {
	soak      *soak
	random    *rand.Rand
	proxies   []*managedProcess
	controls  []*managedProcess
	targets   []*managedProcess
	recurring []*recurringAction
	exits     chan processExit
}

// runSoakScript runs the script and an operator until the span is over and all processes are up again. It returns the operator,
// which holds the acknowledged state.
func (s *soak) runSoakScript() *soakOperator {
	script := &script{soak: s, random: s.options.random(1), exits: make(chan processExit, 16)}
	script.proxies, script.controls, script.targets = script.manage(s.proxies), script.manage(s.controls), script.manage(s.backends)
	script.scheduleAll()
	operator, late := s.startOperator(), s.startLateOperator(s.deployment.ReserveDomain)
	end := s.startedAt.Add(s.options.span)
	quiet := end.Add(-quietGracePeriods * s.options.grace)
	ticker := time.NewTicker(scriptInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		if now.Before(quiet) {
			script.runDue(now)
		}
		script.handleExits(now)
		script.superviseProcesses(now)
		if now.After(end) && script.allUp() {
			break
		}
	}
	operator.finish()
	late.finish()
	return operator
}

// manage returns managed processes for running ones and begins to wait for their exits.
func (c *script) manage(procs []*process) []*managedProcess {
	var all []*managedProcess
	for _, running := range procs {
		p := &managedProcess{process: running}
		all = append(all, p)
		c.notifyOnExit(p)
	}
	return all
}

// notifyOnExit waits for a process in the background and sends its exit to the script.
func (c *script) notifyOnExit(p *managedProcess) {
	cmd := p.cmd
	go func() { c.exits <- processExit{p, cmd, cmd.Wait()} }()
}

// scheduleAll schedules every action with a random mean interval.
func (c *script) scheduleAll() {
	randomBetween := func(low, high time.Duration) time.Duration {
		return low + time.Duration(c.random.Int64N(int64(high-low)))
	}
	proxyFactor := time.Duration(max(1, len(c.proxies)/5)) // large fleets stop proxies more often
	c.schedule(randomBetween(800*time.Millisecond, 3*time.Second)/proxyFactor, c.stopProxies)
	c.schedule(randomBetween(3*time.Second, 9*time.Second), c.stopControl)
	c.schedule(randomBetween(time.Second, 4*time.Second), c.stopTarget)
	c.schedule(randomBetween(100*time.Millisecond, 600*time.Millisecond), c.sendSIGHUP)
	c.schedule(lateFreezeMeanGap, c.freezeControl)
	if c.soak.options.faults {
		c.schedule(randomBetween(3*time.Second, 8*time.Second), c.killProxy)
		c.schedule(randomBetween(5*time.Second, 12*time.Second), c.killControl)
		c.schedule(randomBetween(8*time.Second, 20*time.Second), c.killAllControls)
	}
}

// schedule adds an action with a mean interval, which is also the time until it first runs.
func (c *script) schedule(gap time.Duration, do func()) {
	c.recurring = append(c.recurring, &recurringAction{next: time.Now().Add(gap), gap: gap, act: do})
}

// runDue runs the actions that are due, and draws when each comes next.
func (c *script) runDue(now time.Time) {
	for _, s := range c.recurring {
		if now.Before(s.next) {
			continue
		}
		s.next = now.Add(time.Duration(c.random.ExpFloat64() * float64(s.gap)))
		s.act()
	}
}

// superviseProcesses kills daemons that have not stopped within their grace period, which is a violation, and restarts
// the processes that are due.
func (c *script) superviseProcesses(now time.Time) {
	for _, p := range slices.Concat(c.proxies, c.controls, c.targets) {
		switch {
		case p.phase == phaseStopping && now.Sub(p.signaledAt) > c.soak.options.grace+stopSlack && p.kind != backendProgram:
			c.soak.recordViolation(ruleGracefulStop, "%s did not stop within its grace period", p.name)
			p.signal(syscall.SIGKILL)
			p.signaledAt = now
		case p.phase == phaseDown && now.After(p.startAt):
			c.start(p)
		case p.phase == phaseFrozen && now.After(p.startAt):
			p.signal(syscall.SIGCONT)
			p.phase = phaseUp
		}
	}
}

// start starts a process again.
func (c *script) start(p *managedProcess) {
	if p.wipe {
		os.RemoveAll(c.soak.path("data", p.name))
		p.wipe = false
	}
	p.logSizeAtStart = c.logSize(p)
	if err := c.soak.startProcess(p.process); err != nil {
		c.soak.recordViolation(ruleTestEnvironment, "%v", err)
		return
	}
	p.phase = phaseUp
	c.notifyOnExit(p)
}

// logSize returns the size of a process's log in bytes. The log is kept over all starts.
func (c *script) logSize(p *managedProcess) int64 {
	info, err := os.Stat(c.soak.path("log", p.name+".log"))
	if err != nil {
		return 0
	}
	return info.Size()
}

// handleExits calls processExited for the exits that have been reported since the last step.
func (c *script) handleExits(now time.Time) {
	for {
		select {
		case exit := <-c.exits:
			c.processExited(now, exit)
		default:
			return
		}
	}
}

// processExited checks that an exit was asked for and had no error, and sets when the process is started again.
func (c *script) processExited(now time.Time, exit processExit) {
	p := exit.process
	if p.cmd != exit.cmd {
		return
	}
	switch {
	case p.phase == phaseUp:
		c.soak.recordViolation(ruleNoCrash, "%s: %v", p.name, exit.err)
	case p.phase == phaseStopping && c.logSize(p) == p.logSizeAtStart:
		// It got SIGTERM before its program had logged anything, so it may not handle the signal yet and has accepted nothing.
	case p.phase == phaseStopping && exit.err != nil:
		c.soak.recordViolation(ruleGracefulStop, "%s: %v", p.name, exit.err)
	}
	p.stopped, p.phase = true, phaseDown
	p.startAt = now.Add(restartPause + time.Duration(c.random.Int64N(int64(restartJitter))))
}

// allUp reports whether all processes are up.
func (c *script) allUp() bool {
	for _, p := range slices.Concat(c.proxies, c.controls, c.targets) {
		if p.phase != phaseUp {
			return false
		}
	}
	return true
}

// shuffledUp returns the processes that are neither stopping nor down, in random order.
func (c *script) shuffledUp(of []*managedProcess) []*managedProcess {
	up := slices.DeleteFunc(slices.Clone(of), func(p *managedProcess) bool { return p.phase != phaseUp })
	c.random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	return up
}

// stop sends SIGTERM.
func (c *script) stop(p *managedProcess) {
	p.phase, p.signaledAt = phaseStopping, time.Now()
	c.soak.log.add(eventStop, p.name)
	p.signal(syscall.SIGTERM)
}

// kill sends SIGKILL.
func (c *script) kill(p *managedProcess) {
	c.soak.log.add(eventKill, p.name)
	p.phase = phaseDown
	p.startAt = time.Now().Add(time.Hour) // replaced when its exit is handled
	p.signal(syscall.SIGKILL)
}

// stopProxies stops up to a quarter of the proxies at once, but never the last one that is up.
func (c *script) stopProxies() {
	up := c.shuffledUp(c.proxies)
	n := min(1+c.random.IntN(max(1, len(c.proxies)/4)), len(up)-1)
	for i := range n {
		c.stop(up[i])
	}
}

// stopControl stops a control daemon if all of them are up.
func (c *script) stopControl() {
	if up := c.shuffledUp(c.controls); len(up) == len(c.controls) {
		c.stop(up[0])
	}
}

// stopTarget stops a back end whose service has another one that is up.
func (c *script) stopTarget() {
	up := c.shuffledUp(c.targets)
	for _, p := range up {
		others := slices.ContainsFunc(up, func(o *managedProcess) bool { return o != p && o.service == p.service })
		if others {
			c.stop(p)
			return
		}
	}
}

// sendSIGHUP sends a SIGHUP to a random daemon unless it is down; it may be starting or stopping.
func (c *script) sendSIGHUP() {
	daemons := slices.Concat(c.proxies, c.controls)
	p := daemons[c.random.IntN(len(daemons))]
	if p.phase != phaseDown {
		c.soak.log.add(eventSIGHUP, p.name)
		p.signal(syscall.SIGHUP)
	}
}

// killProxy kills a proxy if another one is up.
func (c *script) killProxy() {
	if up := c.shuffledUp(c.proxies); len(up) > 1 {
		c.kill(up[0])
	}
}

// killControl kills a control daemon if all of them are up. If there are more than two, it also deletes its data in half of
// the cases.
func (c *script) killControl() {
	if up := c.shuffledUp(c.controls); len(up) == len(c.controls) {
		up[0].wipe = len(c.controls) > 2 && c.random.IntN(2) == 0
		c.kill(up[0])
	}
}

// freezeControl suspends a control daemon for a while if all of them are up.
func (c *script) freezeControl() {
	if up := c.shuffledUp(c.controls); len(up) == len(c.controls) {
		p := up[0]
		p.phase, p.startAt = phaseFrozen, time.Now().Add(lateFreezeMin+time.Duration(c.random.Int64N(int64(lateFreezeSpan))))
		c.soak.log.add(eventFreeze, p.name)
		p.signal(syscall.SIGSTOP)
	}
}

// killAllControls kills all control daemons that are up.
func (c *script) killAllControls() {
	for _, p := range c.shuffledUp(c.controls) {
		c.kill(p)
	}
}

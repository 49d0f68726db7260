// This file implements the script of a soak: from a seed it stops proxies, control daemons and back ends, sends SIGHUPs and, with
// option faults, kills daemons, at times that overlap. One goroutine owns all processes while the script runs.

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
	quietGracePeriods = 2                      // grace periods before the end of the script in which no action starts
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
)

// managedProcess is a process that the script stops and restarts.
type managedProcess struct {
	*process
	phase          phase
	signaledAt     time.Time // when it was sent SIGTERM, or SIGKILL after the grace period
	startAt        time.Time // when it is to be started again
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
	operator := s.startOperator()
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
	return operator
}

// manage wraps processes that are running, and has their exits reported.
func (c *script) manage(procs []*process) []*managedProcess {
	var all []*managedProcess
	for _, p := range procs {
		a := &managedProcess{process: p}
		all = append(all, a)
		c.notifyOnExit(a)
	}
	return all
}

// notifyOnExit waits for a process in the background and sends its exit to the script.
func (c *script) notifyOnExit(a *managedProcess) {
	cmd := a.cmd
	go func() { c.exits <- processExit{a, cmd, cmd.Wait()} }()
}

// scheduleAll draws the mean interval of each action.
func (c *script) scheduleAll() {
	randomBetween := func(low, high time.Duration) time.Duration {
		return low + time.Duration(c.random.Int64N(int64(high-low)))
	}
	proxyFactor := time.Duration(max(1, len(c.proxies)/5)) // large fleets stop proxies more often
	c.schedule(randomBetween(800*time.Millisecond, 3*time.Second)/proxyFactor, c.stopProxies)
	c.schedule(randomBetween(3*time.Second, 9*time.Second), c.stopControl)
	c.schedule(randomBetween(time.Second, 4*time.Second), c.stopTarget)
	c.schedule(randomBetween(100*time.Millisecond, 600*time.Millisecond), c.sendSIGHUP)
	if c.soak.options.faults {
		c.schedule(randomBetween(3*time.Second, 8*time.Second), c.killProxy)
		c.schedule(randomBetween(5*time.Second, 12*time.Second), c.killControl)
		c.schedule(randomBetween(8*time.Second, 20*time.Second), c.killAllControls)
	}
}

// schedule adds an action with a mean interval.
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

// superviseProcesses kills daemons that have not stopped within their grace period, which is a violation, and starts the
// processes whose time has come.
func (c *script) superviseProcesses(now time.Time) {
	for _, a := range slices.Concat(c.proxies, c.controls, c.targets) {
		switch {
		case a.phase == phaseStopping && now.Sub(a.signaledAt) > c.soak.options.grace+stopSlack && a.kind != backendProgram:
			c.soak.recordViolation(ruleGracefulStop, "%s did not stop within its grace period", a.name)
			a.signal(syscall.SIGKILL)
			a.signaledAt = now
		case a.phase == phaseDown && now.After(a.startAt):
			c.start(a)
		}
	}
}

// start starts a process again.
func (c *script) start(a *managedProcess) {
	if a.wipe {
		os.RemoveAll(c.soak.path("data", a.name))
		a.wipe = false
	}
	a.logSizeAtStart = c.logSize(a)
	if err := c.soak.startProcess(a.process); err != nil {
		c.soak.recordViolation(ruleTestEnvironment, "%v", err)
		return
	}
	a.phase = phaseUp
	c.notifyOnExit(a)
}

// logSize returns the size of a process's log in bytes. The log is kept over all starts.
func (c *script) logSize(a *managedProcess) int64 {
	info, err := os.Stat(c.soak.path("log", a.name+".log"))
	if err != nil {
		return 0
	}
	return info.Size()
}

// handleExits handles the exits that have been reported since the last step.
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
	a := exit.process
	if a.cmd != exit.cmd {
		return
	}
	switch {
	case a.phase == phaseUp:
		c.soak.recordViolation(ruleNoCrash, "%s: %v", a.name, exit.err)
	case a.phase == phaseStopping && c.logSize(a) == a.logSizeAtStart && a.kind != backendProgram:
		// It got SIGTERM before its program had logged anything, so it may not handle the signal yet and has accepted nothing.
	case a.phase == phaseStopping && exit.err != nil:
		c.soak.recordViolation(ruleGracefulStop, "%s: %v", a.name, exit.err)
	}
	a.stopped, a.phase = true, phaseDown
	a.startAt = now.Add(restartPause + time.Duration(c.random.Int64N(int64(restartJitter))))
}

// allUp reports whether all processes are up.
func (c *script) allUp() bool {
	for _, a := range slices.Concat(c.proxies, c.controls, c.targets) {
		if a.phase != phaseUp {
			return false
		}
	}
	return true
}

// shuffledUp returns the processes that are neither stopping nor down, in random order.
func (c *script) shuffledUp(of []*managedProcess) []*managedProcess {
	up := slices.DeleteFunc(slices.Clone(of), func(a *managedProcess) bool { return a.phase != phaseUp })
	c.random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	return up
}

// stop sends SIGTERM.
func (c *script) stop(a *managedProcess) {
	a.phase, a.signaledAt = phaseStopping, time.Now()
	c.soak.log.add(eventStop, a.name)
	a.signal(syscall.SIGTERM)
}

// kill sends SIGKILL.
func (c *script) kill(a *managedProcess) {
	c.soak.log.add(eventKill, a.name)
	a.phase = phaseDown
	a.startAt = time.Now().Add(time.Hour) // replaced when its exit is handled
	a.signal(syscall.SIGKILL)
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
	for _, a := range up {
		others := slices.ContainsFunc(up, func(o *managedProcess) bool { return o != a && o.service == a.service })
		if others {
			c.stop(a)
			return
		}
	}
}

// sendSIGHUP sends a SIGHUP to a random daemon unless it is down; it may be starting or stopping.
func (c *script) sendSIGHUP() {
	daemons := slices.Concat(c.proxies, c.controls)
	a := daemons[c.random.IntN(len(daemons))]
	if a.phase != phaseDown {
		c.soak.log.add(eventSIGHUP, a.name)
		a.signal(syscall.SIGHUP)
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

// killAllControls kills all control daemons that are up.
func (c *script) killAllControls() {
	for _, a := range c.shuffledUp(c.controls) {
		c.kill(a)
	}
}

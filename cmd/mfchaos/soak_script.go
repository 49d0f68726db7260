// This file is a soak's script: stops of proxies, control daemons and back ends, hangups and, if wanted, kills, drawn
// by seed. They come in series and overlap. One goroutine owns all processes while the script lasts.

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
	scriptStep    = 20 * time.Millisecond
	scriptQuiet   = 2 // so many times the grace before the end nothing begins any more
	restartPause  = 50 * time.Millisecond
	restartSpread = 400 * time.Millisecond
	stopSlack     = 500 * time.Millisecond // what a busy machine may add to a grace
)

// phase is where a process of the script is.
type phase int

const (
	phaseUp phase = iota
	phaseStopping
	phaseDown
)

// actor is a process of the script.
type actor struct {
	*process
	phase   phase
	stopAt  time.Time // when it was asked to stop
	startAt time.Time // when it is started again
	logged  int64     // how long its log was at its start
	wipe    bool      // its disk is lost while it is down
}

// processEnd is the notice that a process is gone.
type processEnd struct {
	actor *actor
	cmd   *exec.Cmd
	err   error
}

// series is one kind of work, done again and again.
type series struct {
	next time.Time
	gap  time.Duration // the mean
	act  func()
}

// script is a run's processes and series.
type script struct {
	soak     *soak
	random   *rand.Rand
	proxies  []*actor
	controls []*actor
	targets  []*actor
	series   []*series
	ends     chan processEnd
}

// playScript plays the script to its end, with all processes up again, and returns what operators were promised.
func (s *soak) playScript() *soakOperator {
	script := &script{soak: s, random: s.options.random(1), ends: make(chan processEnd, 16)}
	script.proxies, script.controls, script.targets = script.actors(s.proxies), script.actors(s.controls), script.actors(s.backends)
	script.plan()
	operator := s.startOperator()
	end := s.startedAt.Add(s.options.span)
	quiet := end.Add(-scriptQuiet * s.options.grace)
	step := time.NewTicker(scriptStep)
	defer step.Stop()
	for now := range step.C {
		if now.Before(quiet) {
			script.begin(now)
		}
		script.drainEnds(now)
		script.superviseActors(now)
		if now.After(end) && script.allUp() {
			break
		}
	}
	operator.finish()
	return operator
}

func (c *script) actors(procs []*process) []*actor {
	var all []*actor
	for _, p := range procs {
		a := &actor{process: p}
		all = append(all, a)
		c.awaitEnd(a)
	}
	return all
}

// awaitEnd sends the process's end to the script.
func (c *script) awaitEnd(a *actor) {
	cmd := a.cmd
	go func() { c.ends <- processEnd{a, cmd, cmd.Wait()} }()
}

// plan draws how often each kind of work comes.
func (c *script) plan() {
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(c.random.Int64N(int64(high-low)))
	}
	fleet := time.Duration(max(1, len(c.proxies)/5))
	c.add(between(800*time.Millisecond, 3*time.Second)/fleet, c.stopProxies)
	c.add(between(3*time.Second, 9*time.Second), c.stopCore)
	c.add(between(time.Second, 4*time.Second), c.stopTarget)
	c.add(between(100*time.Millisecond, 600*time.Millisecond), c.hangUp)
	if c.soak.options.faults {
		c.add(between(3*time.Second, 8*time.Second), c.killProxy)
		c.add(between(5*time.Second, 12*time.Second), c.killCore)
		c.add(between(8*time.Second, 20*time.Second), c.killAllCores)
	}
}

func (c *script) add(gap time.Duration, do func()) {
	c.series = append(c.series, &series{next: time.Now().Add(gap), gap: gap, act: do})
}

// begin does what is due.
func (c *script) begin(now time.Time) {
	for _, s := range c.series {
		if now.Before(s.next) {
			continue
		}
		s.next = now.Add(time.Duration(c.random.ExpFloat64() * float64(s.gap)))
		s.act()
	}
}

// superviseActors ends by force what has not stopped in its grace, and starts what is to come back.
func (c *script) superviseActors(now time.Time) {
	for _, a := range slices.Concat(c.proxies, c.controls, c.targets) {
		switch {
		case a.phase == phaseStopping && now.Sub(a.stopAt) > c.soak.options.grace+stopSlack && a.kind != backendProgram:
			c.soak.violation("planned restart", "%s did not stop in its grace", a.name)
			a.signal(syscall.SIGKILL)
			a.stopAt = now
		case a.phase == phaseDown && now.After(a.startAt):
			c.start(a)
		}
	}
}

func (c *script) start(a *actor) {
	if a.wipe {
		os.RemoveAll(c.soak.path("data", a.name))
		a.wipe = false
	}
	a.logged = c.logLength(a)
	if err := c.soak.startProcess(a.process); err != nil {
		c.soak.violation("lab", "%v", err)
		return
	}
	a.phase = phaseUp
	c.awaitEnd(a)
}

// logLength is how long a process's log is, over all its starts.
func (c *script) logLength(a *actor) int64 {
	info, err := os.Stat(c.soak.path("log", a.name+".log"))
	if err != nil {
		return 0
	}
	return info.Size()
}

// drainEnds takes in which processes are gone.
func (c *script) drainEnds(now time.Time) {
	for {
		select {
		case end := <-c.ends:
			c.processExited(now, end)
		default:
			return
		}
	}
}

func (c *script) processExited(now time.Time, end processEnd) {
	a := end.actor
	if a.cmd != end.cmd {
		return
	}
	switch {
	case a.phase == phaseUp:
		c.soak.violation("ended by itself", "%s: %v", a.name, end.err)
	case a.phase == phaseStopping && c.logLength(a) == a.logged && a.kind != backendProgram:
		// It was asked before the first line of its program ran: nothing was taken.
	case a.phase == phaseStopping && end.err != nil:
		c.soak.violation("planned restart", "%s: %v", a.name, end.err)
	}
	a.stopped, a.phase = true, phaseDown
	a.startAt = now.Add(restartPause + time.Duration(c.random.Int64N(int64(restartSpread))))
}

func (c *script) allUp() bool {
	for _, a := range slices.Concat(c.proxies, c.controls, c.targets) {
		if a.phase != phaseUp {
			return false
		}
	}
	return true
}

// up is the actors that are neither stopping nor down, in an order drawn anew.
func (c *script) up(of []*actor) []*actor {
	up := slices.DeleteFunc(slices.Clone(of), func(a *actor) bool { return a.phase != phaseUp })
	c.random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	return up
}

func (c *script) stop(a *actor) {
	a.phase, a.stopAt = phaseStopping, time.Now()
	c.soak.log.add(eventStop, a.name)
	a.signal(syscall.SIGTERM)
}

// kill ends a process without a word.
func (c *script) kill(a *actor) {
	c.soak.log.add(eventKill, a.name)
	a.phase = phaseDown
	a.startAt = time.Now().Add(time.Hour) // until its end is noticed
	a.signal(syscall.SIGKILL)
}

// stopProxies stops some proxies at once; one stays.
func (c *script) stopProxies() {
	up := c.up(c.proxies)
	n := min(1+c.random.IntN(max(1, len(c.proxies)/4)), len(up)-1)
	for i := range n {
		c.stop(up[i])
	}
}

// stopCore stops a control daemon if all others are up.
func (c *script) stopCore() {
	if up := c.up(c.controls); len(up) == len(c.controls) {
		c.stop(up[0])
	}
}

// stopTarget stops a back end whose service has others.
func (c *script) stopTarget() {
	up := c.up(c.targets)
	for _, a := range up {
		others := slices.ContainsFunc(up, func(o *actor) bool { return o != a && o.service == a.service })
		if others {
			c.stop(a)
			return
		}
	}
}

// hangUp sends a SIGHUP to any daemon, also one that is starting or stopping.
func (c *script) hangUp() {
	daemons := slices.Concat(c.proxies, c.controls)
	a := daemons[c.random.IntN(len(daemons))]
	if a.phase != phaseDown {
		c.soak.log.add(eventHangup, a.name)
		a.signal(syscall.SIGHUP)
	}
}

func (c *script) killProxy() {
	if up := c.up(c.proxies); len(up) > 1 {
		c.kill(up[0])
	}
}

// killCore kills a control daemon if all others are up; at times its disk is lost.
func (c *script) killCore() {
	if up := c.up(c.controls); len(up) == len(c.controls) {
		up[0].wipe = len(c.controls) > 2 && c.random.IntN(2) == 0
		c.kill(up[0])
	}
}

func (c *script) killAllCores() {
	for _, a := range c.up(c.controls) {
		c.kill(a)
	}
}

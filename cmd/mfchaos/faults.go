// This file is the faults that break a fleet on request.

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/verification/linearizability"
)

type fault struct {
	name   string
	inject func(f *fleet)
}

// killed and frozen are faults of one process out of some, for a while in ms.
func killed(of func(*fleet) []*process, lo, hi int) func(*fleet) {
	return func(f *fleet) {
		if p := f.pickRunning(of(f)); p != nil {
			f.logf("kill %s", p.name)
			p.kill()
			f.pause(lo, hi)
			f.restart(p)
		}
	}
}

func frozen(of func(*fleet) []*process, lo, hi int) func(*fleet) {
	return func(f *fleet) {
		if p := f.pickRunning(of(f)); p != nil {
			f.logf("freeze %s", p.name)
			p.signal(syscall.SIGSTOP)
			f.pause(lo, hi)
			p.signal(syscall.SIGCONT)
		}
	}
}

func controlsOf(f *fleet) []*process { return f.controls }

func proxiesOf(f *fleet) []*process { return f.proxies }

func backendsOf(f *fleet) []*process { return f.backends }

// Each fault ends before the next begins; the fleet has its full capacity again then.
var faults = []fault{
	{"target killed", killed(backendsOf, 1000, 4000)},
	{"target frozen", frozen(backendsOf, 2000, 5000)},
	{"target misbehaves", func(f *fleet) {
		if p := f.pickRunning(f.backends); p != nil {
			m := []string{"hang", "lose", "garbage", "half", "slow:700ms", "fail", "stuck", "reset"}[f.random.IntN(8)]
			f.logf("%s: %s", p.name, m)
			f.setMode(p, m)
			f.pause(2000, 4000)
			f.setMode(p, "ok")
		}
	}},
	{"targets send surplus answers", func(f *fleet) {
		f.logf("all targets send surplus answers, at once and late")
		for i, p := range f.backends {
			if !p.stopped {
				f.setMode(p, []string{"surplus", "surplus:20ms", "surplus:500ms"}[i%3])
			}
		}
		f.pause(2000, 4000)
		for _, p := range f.backends {
			if !p.stopped {
				f.setMode(p, "ok")
			}
		}
	}},
	{"service rolled in part", func(f *fleet) {
		s := f.deployment.Services[f.random.IntN(len(f.deployment.Services))]
		n := 0
		for _, p := range f.backends {
			if p.service == s.Name && !p.stopped && n < 2 {
				n++
				f.logf("roll %s", p.name)
				p.stop(8 * time.Second)
				*p = *f.newBackend(s, p.name, p.addr, p.domain, s.Warm)
				f.restart(p)
			}
		}
	}},
	{"address handed over", func(f *fleet) {
		a := f.pickRunning(f.backends)
		if a == nil {
			return
		}
		to := f.deployment.Services[f.random.IntN(len(f.deployment.Services))]
		g := f.pickRunning(f.proxies)
		g.signal(syscall.SIGSTOP) // one proxy learns nothing of it meanwhile
		a.kill()
		b := f.newBackend(to, fmt.Sprintf("%s-new%d", to.Name, f.random.IntN(1000)), a.addr, a.domain, "0s")
		f.logf("%s goes from %s to %s while %s is frozen", a.addr, a.name, b.name, g.name)
		f.restart(b)
		f.pause(500, 2500)
		g.signal(syscall.SIGCONT)
		f.pause(3000, 4000)
		b.stop(8 * time.Second)
		f.restart(a)
	}},
	{"gate killed", killed(proxiesOf, 500, 3000)},
	{"gate frozen", frozen(proxiesOf, 1000, 4000)},
	{"gate restarted", func(f *fleet) {
		if p := f.pickRunning(f.proxies); p != nil {
			d, err := p.stop(25 * time.Second)
			f.logf("restart %s: stopped in %v, %v", p.name, d.Round(time.Millisecond), err)
			if err != nil {
				f.violation("planned restart", "%s: %v", p.name, err)
			}
			f.restart(p)
		}
	}},
	{"core killed", killed(controlsOf, 500, 3000)},
	{"leader killed", func(f *fleet) {
		if p := f.leader(); p != nil {
			f.logf("kill leader %s", p.name)
			p.kill()
			f.pause(500, 3000)
			f.restart(p)
		}
	}},
	{"leader frozen", func(f *fleet) {
		if p := f.leader(); p != nil {
			f.logf("freeze leader %s", p.name)
			p.signal(syscall.SIGSTOP)
			f.pause(1000, 4000)
			p.signal(syscall.SIGCONT)
		}
	}},
	{"leader restarted", func(f *fleet) {
		if p := f.leader(); p != nil {
			d, err := p.stop(5 * time.Second)
			f.logf("restart leader %s: stopped in %v, %v", p.name, d.Round(time.Millisecond), err)
			if err != nil {
				f.violation("planned restart", "%s: %v", p.name, err)
			}
			f.restart(p)
		}
	}},
	{"core loses disk", func(f *fleet) {
		if p := f.pickRunning(f.controls); p != nil {
			f.logf("kill %s and lose its disk", p.name)
			p.kill()
			os.RemoveAll(f.path("data", p.name))
			f.restart(p)
			f.pause(2000, 3000)
		}
	}},
	{"domain loses power", func(f *fleet) { f.cutPower(false) }},
	{"domain loses power and its disks", func(f *fleet) {
		f.cutPower(true)
		f.awaitFullCapacity()
	}},
	{"machine isolated", func(f *fleet) {
		if p := f.pickRunning(slices.Concat(f.proxies, f.controls)); p != nil {
			f.logf("isolate %s", p.name)
			f.isolate([]*process{p}, true, true, 2000, 6000)
		}
	}},
	{"machine cut one way", func(f *fleet) {
		if p := f.pickRunning(slices.Concat(f.proxies, f.controls)); p != nil {
			out := f.random.IntN(2) == 0
			f.logf("cut %s one way, outward %v", p.name, out)
			f.isolate([]*process{p}, out, !out, 2000, 6000)
		}
	}},
	{"leader isolated", func(f *fleet) {
		if p := f.leader(); p != nil {
			f.logf("isolate leader %s", p.name)
			f.isolate([]*process{p}, true, true, 2000, 6000)
		}
	}},
	{"core split", func(f *fleet) {
		cs := slices.Clone(f.controls)
		f.random.Shuffle(len(cs), func(i, j int) { cs[i], cs[j] = cs[j], cs[i] })
		a, b := cs[:len(cs)/2], cs[len(cs)/2:]
		var names []string
		for _, p := range a {
			names = append(names, p.name)
		}
		f.logf("split the core: %s against the others", strings.Join(names, ", "))
		f.network.set(directedPairs(a, b, true, true))
		f.pause(2000, 6000)
		f.network.set(nil)
	}},
	{"leader cut off from targets", func(f *fleet) {
		if p := f.leader(); p != nil {
			f.logf("cut leader %s off from all targets", p.name)
			f.network.set(directedPairs([]*process{p}, f.backends, true, true))
			f.pause(2000, 5000)
			f.network.set(nil)
		}
	}},
	{"domain cut off", func(f *fleet) {
		d := f.deployment.Domains[f.random.IntN(len(f.deployment.Domains))]
		f.logf("cut domain %s off", d)
		var in []*process
		for _, p := range slices.Concat(f.controls, f.proxies, f.backends) {
			if p.domain == d {
				in = append(in, p)
			}
		}
		f.isolate(in, true, true, 3000, 12000)
		f.awaitFullCapacity()
	}},
	{"net slow", func(f *fleet) {
		f.logf("every message takes 60 ms more")
		f.network.delay.Store(int64(60 * time.Millisecond))
		f.pause(2000, 5000)
		f.network.delay.Store(0)
	}},
	{"service comes back cold", func(f *fleet) {
		s := f.deployment.Services[f.random.IntN(len(f.deployment.Services))]
		f.logf("all of %s restarts cold", s.Name)
		for _, p := range f.backends {
			if p.service == s.Name && !p.stopped {
				p.kill()
				*p = *f.newBackend(s, p.name, p.addr, p.domain, s.Warm)
				f.restart(p)
			}
		}
		f.awaitFullCapacity()
	}},
	{"settings changed under a daemon", func(f *fleet) {
		p := f.pickRunning(slices.Concat(f.proxies, f.controls))
		file := f.path("set", p.name+".json")
		was, err := os.ReadFile(file)
		if err != nil {
			f.violation("lab", "%v", err)
			return
		}
		f.logf("settings of %s: nonsense, then another log level, then as before", p.name)
		for _, b := range [][]byte{[]byte("{ nonsense"), bytes.Replace(was, []byte(`"info"`), []byte(`"debug"`), 1), was} {
			os.WriteFile(file, b, 0o644)
			f.pause(2500, 2500)
			if s, _ := get("http://" + p.http + "/live"); s != 200 {
				f.violation("settings changed", "%s is not there after %.12q", p.name, b)
			}
		}
		log, _ := os.ReadFile(f.path("log", p.name+".log"))
		if !bytes.Contains(log, []byte("invalid; the previous ones stay in effect")) || !bytes.Contains(log, []byte("settings changed")) {
			f.violation("settings changed", "%s said nothing of it", p.name)
		}
	}},
	{"config", func(f *fleet) { f.reconfigure() }},
	{"config pair", func(f *fleet) {
		b := f.revision()
		if b < 0 {
			return
		}
		// Two that say the same are one order, and both are acknowledged.
		other, err := config.MergePatch(f.config, fmt.Appendf(nil, `{"limits":{"body_bytes":%d}}`, tuning.BodyMaxDefault))
		if err != nil {
			f.violation("one base", "the second change can't be made: %v", err)
			return
		}
		docs := [][]byte{f.config, other}
		writes := []*linearizability.Operation{f.recordChange(docs[0], b), f.recordChange(docs[1], b)}
		answers := []chan configCall{make(chan configCall, 1), make(chan configCall, 1)}
		for i := range docs {
			go func() { answers[i] <- f.runPut(docs[i], b) }()
		}
		first, second := <-answers[0], <-answers[1]
		recordReply(writes[0], first)
		recordReply(writes[1], second)
		f.logf("two changes on revision %d: exit codes %d and %d", b, first.code, second.code)
		if first.code == ctlDone && second.code == ctlDone {
			f.violation("one base", "both changes on %d were accepted", b)
		}
	}},
	{"config invalid", func(f *fleet) {
		before := f.revision()
		_, code := f.ctl([]byte(`{"services":{"x":{"cap":-1}},"rules":[{"path":"y","service":"z"}]}`), "config", "put", "-", "--base", strconv.Itoa(before))
		if after := f.revision(); code != 4 || after != before && after > 0 {
			f.violation("invalid configuration", "exit code %d, revision %d -> %d", code, before, after)
		}
	}},
	{"domain emptied and restored", func(f *fleet) {
		d := f.deployment.Domains[f.random.IntN(len(f.deployment.Domains))]
		t := time.Now()
		out, code := f.ctl(nil, "domain", "empty", d)
		f.logf("empty %s: exit code %d after %v", d, code, time.Since(t).Round(time.Millisecond))
		if code != 0 {
			f.logf("%s", strings.TrimSpace(out))
		}
		acked := time.Now()
		f.pause(3000, 5000)
		if code == 0 {
			f.checkEmptied(d, acked, time.Now())
		}
		for range 5 {
			if _, code := f.ctl(nil, "domain", "restore", d); code == 0 {
				break
			}
		}
	}},
}

// cutPower takes a domain's power for a while, and its core members' disks if wanted.
func (f *fleet) cutPower(disks bool) {
	domain := f.deployment.Domains[f.random.IntN(len(f.deployment.Domains))]
	f.logf("domain %s loses power, its disks too: %v", domain, disks)
	var off []*process
	for _, p := range slices.Concat(f.controls, f.proxies, f.backends) {
		if p.domain == domain && !p.stopped {
			p.kill()
			off = append(off, p)
			if disks {
				os.RemoveAll(f.path("data", p.name))
			}
		}
	}
	f.pause(2000, 5000)
	for _, p := range off {
		f.restart(p)
	}
}

// isolate parts some machines from all others for a while in ms.
func (f *fleet) isolate(in []*process, out, back bool, lo, hi int) {
	var others []*process
	for _, p := range slices.Concat(f.controls, f.proxies, f.backends) {
		if !slices.Contains(in, p) {
			others = append(others, p)
		}
	}
	f.network.set(directedPairs(in, others, out, back))
	f.pause(lo, hi)
	f.network.set(nil)
}

// awaitFullCapacity wants full capacity back.
func (f *fleet) awaitFullCapacity() {
	t := time.Now()
	if err := f.awaitServing(15 * time.Second); err != nil {
		f.violation("capacity back", "%v", err)
		return
	}
	f.logf("whole again after %.1f s", time.Since(t).Seconds())
}

func (f *fleet) reconfigure() {
	base := f.revision()
	t := time.Now()
	out, code := f.putConfig(f.config, max(0, base))
	took := time.Since(t)
	f.logf("configuration on %d: exit code %d after %v", base, code, took.Round(time.Millisecond))
	if code != 0 {
		f.logf("%s", strings.TrimSpace(out))
		return
	}
	f.inForceSeconds = append(f.inForceSeconds, took.Seconds())
	for _, g := range f.proxies {
		if g.stopped || g.frozen {
			continue
		}
		var v struct {
			Revision int
			State    string
		}
		if _, body := get("http://" + g.http + "/v1/status"); json.Unmarshal(body, &v) == nil && v.Revision < base+1 && (v.State == "granted" || v.State == "orphan") {
			f.violation("in force everywhere", "%s serves on %d after %d was acknowledged", g.name, v.Revision, base+1)
		}
	}
}

// loseEverything ends a day with the loss of everything that was acknowledged.
func (f *fleet) loseEverything() {
	f.logf("every daemon is killed and every disk lost")
	f.history.Reset()
	for _, p := range slices.Concat(f.controls, f.proxies) {
		p.kill()
	}
	os.RemoveAll(f.path("data"))
	t := time.Now()
	for _, p := range slices.Concat(f.controls, f.proxies) {
		f.restart(p)
	}
	err := f.configure(15 * time.Second)
	if err == nil {
		err = f.awaitServing(max(0, 15*time.Second-time.Since(t)))
	}
	if err != nil {
		f.violation("back in 15 s", "after a total loss: %v", err)
		return
	}
	f.logf("serving again %.1f s after a total loss", time.Since(t).Seconds())
}

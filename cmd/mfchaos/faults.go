// This file defines the faults that are injected into a fleet.

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

// fault is a kind of fault, or of an operator's action.
type fault struct {
	name   string         // value of --fault
	inject func(f *fleet) // returns once the fault has ended
}

// killAndRestart returns a fault that kills a random process and restarts it after a random time between two bounds in ms.
func killAndRestart(of func(*fleet) []*process, minMs, maxMs int) func(*fleet) {
	return func(f *fleet) {
		if p := f.pickRunning(of(f)); p != nil {
			f.logf("kill %s", p.name)
			p.kill()
			f.sleepBetween(minMs, maxMs)
			f.restart(p)
		}
	}
}

// freezeAndResume returns a fault that suspends a random process for a random time between two bounds in ms.
func freezeAndResume(of func(*fleet) []*process, minMs, maxMs int) func(*fleet) {
	return func(f *fleet) {
		if p := f.pickRunning(of(f)); p != nil {
			f.logf("suspend %s", p.name)
			p.signal(syscall.SIGSTOP)
			f.sleepBetween(minMs, maxMs)
			p.signal(syscall.SIGCONT)
		}
	}
}

func controlsOf(f *fleet) []*process { return f.controls }

func proxiesOf(f *fleet) []*process { return f.proxies }

func backendsOf(f *fleet) []*process { return f.backends }

// faults are all kinds of faults. Each ends before the next begins: its processes are running again and the network is
// healed. The names are values of --fault, in which gate stands for a proxy and core for a control daemon.
var faults = []fault{
	{"target killed", killAndRestart(backendsOf, 1000, 4000)},
	{"target frozen", freezeAndResume(backendsOf, 2000, 5000)},
	{"target misbehaves", func(f *fleet) {
		if p := f.pickRunning(f.backends); p != nil {
			m := []string{"hang", "lose", "garbage", "half", "slow:700ms", "fail", "stuck", "reset"}[f.random.IntN(8)]
			f.logf("%s misbehaves: %s", p.name, m)
			f.setFaultMode(p, m)
			f.sleepBetween(2000, 4000)
			f.setFaultMode(p, "ok")
		}
	}},
	{"targets send surplus answers", func(f *fleet) {
		f.logf("all targets send surplus responses, immediately and delayed")
		for i, p := range f.backends {
			if !p.stopped {
				f.setFaultMode(p, []string{"surplus", "surplus:20ms", "surplus:500ms"}[i%3])
			}
		}
		f.sleepBetween(2000, 4000)
		for _, p := range f.backends {
			if !p.stopped {
				f.setFaultMode(p, "ok")
			}
		}
	}},
	{"service rolled in part", func(f *fleet) {
		s := f.deployment.Services[f.random.IntN(len(f.deployment.Services))]
		n := 0
		for _, p := range f.backends {
			if p.service == s.Name && !p.stopped && n < 2 {
				n++
				f.logf("stop %s and start it again", p.name)
				p.stop(8 * time.Second)
				*p = *f.newBackend(s, p.name, p.addr, p.domain, s.WarmingStateTime)
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
		proxy := f.pickRunning(f.proxies)
		proxy.signal(syscall.SIGSTOP) // so that one proxy misses the change
		a.kill()
		b := f.newBackend(to, fmt.Sprintf("%s-new%d", to.Name, f.random.IntN(1000)), a.addr, a.domain, "0s")
		f.logf("address %s passes from %s to %s while %s is suspended", a.addr, a.name, b.name, proxy.name)
		f.restart(b)
		f.sleepBetween(500, 2500)
		proxy.signal(syscall.SIGCONT)
		f.sleepBetween(3000, 4000)
		b.stop(8 * time.Second)
		f.restart(a)
	}},
	{"gate killed", killAndRestart(proxiesOf, 500, 3000)},
	{"gate frozen", freezeAndResume(proxiesOf, 1000, 4000)},
	{"gate restarted", func(f *fleet) {
		if p := f.pickRunning(f.proxies); p != nil {
			d, err := p.stop(25 * time.Second)
			f.logf("restart %s: stopped in %v, %v", p.name, d.Round(time.Millisecond), err)
			if err != nil {
				f.recordViolation(ruleGracefulStop, "%s: %v", p.name, err)
			}
			f.restart(p)
		}
	}},
	{"core killed", killAndRestart(controlsOf, 500, 3000)},
	{"leader killed", func(f *fleet) {
		if p := f.leader(); p != nil {
			f.logf("kill leader %s", p.name)
			p.kill()
			f.sleepBetween(500, 3000)
			f.restart(p)
		}
	}},
	{"leader frozen", func(f *fleet) {
		if p := f.leader(); p != nil {
			f.logf("suspend leader %s", p.name)
			p.signal(syscall.SIGSTOP)
			f.sleepBetween(1000, 4000)
			p.signal(syscall.SIGCONT)
		}
	}},
	{"leader restarted", func(f *fleet) {
		if p := f.leader(); p != nil {
			d, err := p.stop(5 * time.Second)
			f.logf("restart leader %s: stopped in %v, %v", p.name, d.Round(time.Millisecond), err)
			if err != nil {
				f.recordViolation(ruleGracefulStop, "%s: %v", p.name, err)
			}
			f.restart(p)
		}
	}},
	{"core loses disk", func(f *fleet) {
		if p := f.pickRunning(f.controls); p != nil {
			f.logf("kill %s and delete its data", p.name)
			p.kill()
			os.RemoveAll(f.path("data", p.name))
			f.restart(p)
			f.sleepBetween(2000, 3000)
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
			outbound := f.random.IntN(2) == 0
			f.logf("cut one direction of %s's network, outbound: %v", p.name, outbound)
			f.isolate([]*process{p}, outbound, !outbound, 2000, 6000)
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
		f.logf("partition the control daemons: %s against the others", strings.Join(names, ", "))
		f.network.setCuts(directedPairs(a, b, true, true))
		f.sleepBetween(2000, 6000)
		f.network.setCuts(nil)
	}},
	{"leader cut off from targets", func(f *fleet) {
		if p := f.leader(); p != nil {
			f.logf("cut leader %s off from all targets", p.name)
			f.network.setCuts(directedPairs([]*process{p}, f.backends, true, true))
			f.sleepBetween(2000, 5000)
			f.network.setCuts(nil)
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
		f.logf("delay all data by 60 ms per relay")
		f.network.delay.Store(int64(60 * time.Millisecond))
		f.sleepBetween(2000, 5000)
		f.network.delay.Store(0)
	}},
	{"service comes back cold", func(f *fleet) {
		s := f.deployment.Services[f.random.IntN(len(f.deployment.Services))]
		f.logf("all back ends of %s restart and warm up", s.Name)
		for _, p := range f.backends {
			if p.service == s.Name && !p.stopped {
				p.kill()
				*p = *f.newBackend(s, p.name, p.addr, p.domain, s.WarmingStateTime)
				f.restart(p)
			}
		}
		f.awaitFullCapacity()
	}},
	{"settings changed under a daemon", func(f *fleet) {
		p := f.pickRunning(slices.Concat(f.proxies, f.controls))
		file := f.path("set", p.name+".json")
		original, err := os.ReadFile(file)
		if err != nil {
			f.recordViolation(ruleTestEnvironment, "%v", err)
			return
		}
		f.logf("settings file of %s: invalid, then with another log level, then restored", p.name)
		for _, b := range [][]byte{[]byte("{ nonsense"), bytes.Replace(original, []byte(`"info"`), []byte(`"debug"`), 1), original} {
			os.WriteFile(file, b, 0o644)
			f.sleepBetween(2500, 2500)
			if s, _ := httpGet("http://" + p.http + "/live"); s != 200 {
				f.recordViolation(ruleSettingsReload, "%s does not answer /live after its settings file became %.12q", p.name, b)
			}
		}
		log, _ := os.ReadFile(f.path("log", p.name+".log"))
		if !bytes.Contains(log, []byte("invalid; the previous ones stay in effect")) || !bytes.Contains(log, []byte("settings changed")) {
			f.recordViolation(ruleSettingsReload, "the log of %s lacks the rejection or the reload of the settings", p.name)
		}
	}},
	{"config", func(f *fleet) { f.reconfigure() }},
	{"config pair", func(f *fleet) {
		b := f.revision()
		if b < 0 {
			return
		}
		// The two documents must differ: equal ones are the same change, and both calls would be accepted.
		other, err := config.MergePatch(f.config, fmt.Appendf(nil, `{"limits":{"body_bytes":%d}}`, tuning.BodyMaxDefault))
		if err != nil {
			f.recordViolation(ruleOneChangePerBase, "the second change can't be built: %v", err)
			return
		}
		docs := [][]byte{f.config, other}
		writes := []*linearizability.Operation{f.recordChange(docs[0], b), f.recordChange(docs[1], b)}
		results := []chan ctlResult{make(chan ctlResult, 1), make(chan ctlResult, 1)}
		for i := range docs {
			go func() { results[i] <- f.runConfigPut(docs[i], b) }()
		}
		first, second := <-results[0], <-results[1]
		recordReply(writes[0], first)
		recordReply(writes[1], second)
		f.logf("two changes on revision %d: exit codes %d and %d", b, first.code, second.code)
		if first.code == ctlDone && second.code == ctlDone {
			f.recordViolation(ruleOneChangePerBase, "both changes on revision %d were accepted", b)
		}
	}},
	{"config invalid", func(f *fleet) {
		before := f.revision()
		_, code := f.runCtl([]byte(`{"services":{"x":{"cap":-1}},"rules":[{"path":"y","service":"z"}]}`), "config", "put", "-", "--base", strconv.Itoa(before))
		if after := f.revision(); code != ctlInvalid || after != before && after > 0 {
			f.recordViolation(ruleInvalidConfiguration, "exit code %d, revision %d -> %d", code, before, after)
		}
	}},
	{"domain emptied and restored", func(f *fleet) {
		d := f.deployment.Domains[f.random.IntN(len(f.deployment.Domains))]
		t := time.Now()
		out, code := f.runCtl(nil, "domain", "empty", d)
		f.logf("empty %s: exit code %d after %v", d, code, time.Since(t).Round(time.Millisecond))
		if code != 0 {
			f.logf("%s", strings.TrimSpace(out))
		}
		acked := time.Now()
		f.sleepBetween(3000, 5000)
		if code == 0 {
			f.checkEmptiedDomain(d, acked, time.Now())
		}
		for range 5 {
			if _, code := f.runCtl(nil, "domain", "restore", d); code == 0 {
				break
			}
		}
	}},
}

// awaitFullCapacity checks that the fleet serves at full capacity within 15 s.
func (f *fleet) awaitFullCapacity() {
	t := time.Now()
	if err := f.awaitServing(15 * time.Second); err != nil {
		f.recordViolation(ruleFullCapacity, "%v", err)
		return
	}
	f.logf("full capacity after %.1f s", time.Since(t).Seconds())
}

// reconfigure sends the unchanged configuration as a new revision, and checks that every running proxy that serves requests
// has that revision.
func (f *fleet) reconfigure() {
	base := f.revision()
	t := time.Now()
	out, code := f.putConfig(f.config, max(0, base))
	took := time.Since(t)
	f.logf("configuration put on revision %d: exit code %d after %v", base, code, took.Round(time.Millisecond))
	if code != 0 {
		f.logf("%s", strings.TrimSpace(out))
		return
	}
	f.inForceSeconds = append(f.inForceSeconds, took.Seconds())
	for _, proxy := range f.proxies {
		if proxy.stopped || proxy.frozen {
			continue
		}
		var v struct {
			Revision int
			State    string
		}
		if _, body := httpGet("http://" + proxy.http + "/v1/status"); json.Unmarshal(body, &v) == nil && v.Revision < base+1 && (v.State == "granted" || v.State == "orphan") {
			f.recordViolation(ruleConfigurationInForce, "%s serves revision %d after %d was acknowledged", proxy.name, v.Revision, base+1)
		}
	}
}

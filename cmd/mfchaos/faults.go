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
	name string
	do   func(l *lab)
}

// killed and frozen are faults of one process out of some, for a while in ms.
func killed(of func(*lab) []*proc, lo, hi int) func(*lab) {
	return func(l *lab) {
		if p := l.some(of(l)); p != nil {
			l.say("kill %s", p.name)
			p.kill()
			l.pause(lo, hi)
			l.again(p)
		}
	}
}

func frozen(of func(*lab) []*proc, lo, hi int) func(*lab) {
	return func(l *lab) {
		if p := l.some(of(l)); p != nil {
			l.say("freeze %s", p.name)
			p.signal(syscall.SIGSTOP)
			l.pause(lo, hi)
			p.signal(syscall.SIGCONT)
		}
	}
}

func cores(l *lab) []*proc { return l.cores }

func gates(l *lab) []*proc { return l.gates }

func stubs(l *lab) []*proc { return l.stubs }

// Each fault ends before the next begins; what it breaks is whole again then.
var faults = []fault{
	{"target killed", killed(stubs, 1000, 4000)},
	{"target frozen", frozen(stubs, 2000, 5000)},
	{"target misbehaves", func(l *lab) {
		if p := l.some(l.stubs); p != nil {
			m := []string{"hang", "lose", "garbage", "half", "slow:700ms", "fail", "stuck", "reset"}[l.rnd.IntN(8)]
			l.say("%s: %s", p.name, m)
			l.mode(p, m)
			l.pause(2000, 4000)
			l.mode(p, "ok")
		}
	}},
	{"targets send surplus answers", func(l *lab) {
		l.say("all targets send surplus answers, at once and late")
		for i, p := range l.stubs {
			if !p.stopped {
				l.mode(p, []string{"surplus", "surplus:20ms", "surplus:500ms"}[i%3])
			}
		}
		l.pause(2000, 4000)
		for _, p := range l.stubs {
			if !p.stopped {
				l.mode(p, "ok")
			}
		}
	}},
	{"service rolled in part", func(l *lab) {
		s := l.dep.Services[l.rnd.IntN(len(l.dep.Services))]
		n := 0
		for _, p := range l.stubs {
			if p.service == s.Name && !p.stopped && n < 2 {
				n++
				l.say("roll %s", p.name)
				p.stop(8 * time.Second)
				*p = *l.stub(s, p.name, p.addr, p.domain, s.Warm)
				l.again(p)
			}
		}
	}},
	{"address handed over", func(l *lab) {
		a := l.some(l.stubs)
		if a == nil {
			return
		}
		to := l.dep.Services[l.rnd.IntN(len(l.dep.Services))]
		g := l.some(l.gates)
		g.signal(syscall.SIGSTOP) // one proxy hears nothing of it meanwhile
		a.kill()
		b := l.stub(to, fmt.Sprintf("%s-new%d", to.Name, l.rnd.IntN(1000)), a.addr, a.domain, "0s")
		l.say("%s goes from %s to %s while %s is frozen", a.addr, a.name, b.name, g.name)
		l.again(b)
		l.pause(500, 2500)
		g.signal(syscall.SIGCONT)
		l.pause(3000, 4000)
		b.stop(8 * time.Second)
		l.again(a)
	}},
	{"gate killed", killed(gates, 500, 3000)},
	{"gate frozen", frozen(gates, 1000, 4000)},
	{"gate restarted", func(l *lab) {
		if p := l.some(l.gates); p != nil {
			d, err := p.stop(25 * time.Second)
			l.say("restart %s: stopped in %v, %v", p.name, d.Round(time.Millisecond), err)
			if err != nil {
				l.note("planned restart", "%s: %v", p.name, err)
			}
			l.again(p)
		}
	}},
	{"core killed", killed(cores, 500, 3000)},
	{"leader killed", func(l *lab) {
		if p := l.leader(); p != nil {
			l.say("kill leader %s", p.name)
			p.kill()
			l.pause(500, 3000)
			l.again(p)
		}
	}},
	{"leader frozen", func(l *lab) {
		if p := l.leader(); p != nil {
			l.say("freeze leader %s", p.name)
			p.signal(syscall.SIGSTOP)
			l.pause(1000, 4000)
			p.signal(syscall.SIGCONT)
		}
	}},
	{"leader restarted", func(l *lab) {
		if p := l.leader(); p != nil {
			d, err := p.stop(5 * time.Second)
			l.say("restart leader %s: stopped in %v, %v", p.name, d.Round(time.Millisecond), err)
			if err != nil {
				l.note("planned restart", "%s: %v", p.name, err)
			}
			l.again(p)
		}
	}},
	{"core loses disk", func(l *lab) {
		if p := l.some(l.cores); p != nil {
			l.say("kill %s and lose its disk", p.name)
			p.kill()
			os.RemoveAll(l.path("data", p.name))
			l.again(p)
			l.pause(2000, 3000)
		}
	}},
	{"domain loses power", func(l *lab) { l.darken(false) }},
	{"domain loses power and its disks", func(l *lab) {
		l.darken(true)
		l.whole()
	}},
	{"machine isolated", func(l *lab) {
		if p := l.some(slices.Concat(l.gates, l.cores)); p != nil {
			l.say("isolate %s", p.name)
			l.cut([]*proc{p}, true, true, 2000, 6000)
		}
	}},
	{"machine cut one way", func(l *lab) {
		if p := l.some(slices.Concat(l.gates, l.cores)); p != nil {
			out := l.rnd.IntN(2) == 0
			l.say("cut %s one way, outward %v", p.name, out)
			l.cut([]*proc{p}, out, !out, 2000, 6000)
		}
	}},
	{"leader isolated", func(l *lab) {
		if p := l.leader(); p != nil {
			l.say("isolate leader %s", p.name)
			l.cut([]*proc{p}, true, true, 2000, 6000)
		}
	}},
	{"core split", func(l *lab) {
		cs := slices.Clone(l.cores)
		l.rnd.Shuffle(len(cs), func(i, j int) { cs[i], cs[j] = cs[j], cs[i] })
		a, b := cs[:len(cs)/2], cs[len(cs)/2:]
		var names []string
		for _, p := range a {
			names = append(names, p.name)
		}
		l.say("split the core: %s against the others", strings.Join(names, ", "))
		l.net.set(pairs(a, b, true, true))
		l.pause(2000, 6000)
		l.net.set(nil)
	}},
	{"leader cut off from targets", func(l *lab) {
		if p := l.leader(); p != nil {
			l.say("cut leader %s off from all targets", p.name)
			l.net.set(pairs([]*proc{p}, l.stubs, true, true))
			l.pause(2000, 5000)
			l.net.set(nil)
		}
	}},
	{"domain cut off", func(l *lab) {
		d := l.dep.Domains[l.rnd.IntN(len(l.dep.Domains))]
		l.say("cut domain %s off", d)
		var in []*proc
		for _, p := range slices.Concat(l.cores, l.gates, l.stubs) {
			if p.domain == d {
				in = append(in, p)
			}
		}
		l.cut(in, true, true, 3000, 12000)
		l.whole()
	}},
	{"net slow", func(l *lab) {
		l.say("every message takes 60 ms more")
		l.net.delay.Store(int64(60 * time.Millisecond))
		l.pause(2000, 5000)
		l.net.delay.Store(0)
	}},
	{"service comes back cold", func(l *lab) {
		s := l.dep.Services[l.rnd.IntN(len(l.dep.Services))]
		l.say("all of %s restarts cold", s.Name)
		for _, p := range l.stubs {
			if p.service == s.Name && !p.stopped {
				p.kill()
				*p = *l.stub(s, p.name, p.addr, p.domain, s.Warm)
				l.again(p)
			}
		}
		l.whole()
	}},
	{"settings changed under a daemon", func(l *lab) {
		p := l.some(slices.Concat(l.gates, l.cores))
		f := l.path("set", p.name+".json")
		was, err := os.ReadFile(f)
		if err != nil {
			l.note("lab", "%v", err)
			return
		}
		l.say("settings of %s: nonsense, then another log level, then as before", p.name)
		for _, b := range [][]byte{[]byte("{ nonsense"), bytes.Replace(was, []byte(`"info"`), []byte(`"debug"`), 1), was} {
			os.WriteFile(f, b, 0o644)
			l.pause(2500, 2500)
			if s, _ := get("http://" + p.http + "/live"); s != 200 {
				l.note("settings changed", "%s is not there after %.12q", p.name, b)
			}
		}
		log, _ := os.ReadFile(l.path("log", p.name+".log"))
		if !bytes.Contains(log, []byte("invalid; the previous ones stay in effect")) || !bytes.Contains(log, []byte("settings changed")) {
			l.note("settings changed", "%s said nothing of it", p.name)
		}
	}},
	{"config", func(l *lab) { l.reconfigure() }},
	{"config pair", func(l *lab) {
		b := l.revision()
		if b < 0 {
			return
		}
		// Two that say the same are one order, and both are acknowledged.
		other, err := config.MergePatch(l.config, fmt.Appendf(nil, `{"limits":{"body_bytes":%d}}`, tuning.BodyMaxDefault))
		if err != nil {
			l.note("one base", "the second change can't be made: %v", err)
			return
		}
		docs := [][]byte{l.config, other}
		writes := []*linearizability.Operation{l.recordOrder(docs[0], b), l.recordOrder(docs[1], b)}
		answers := []chan configCall{make(chan configCall, 1), make(chan configCall, 1)}
		for i := range docs {
			go func() { answers[i] <- l.runPut(docs[i], b) }()
		}
		first, second := <-answers[0], <-answers[1]
		recordAnswer(writes[0], first)
		recordAnswer(writes[1], second)
		l.say("two changes on revision %d: exit codes %d and %d", b, first.code, second.code)
		if first.code == ctlDone && second.code == ctlDone {
			l.note("one base", "both changes on %d were accepted", b)
		}
	}},
	{"config invalid", func(l *lab) {
		before := l.revision()
		_, code := l.ctl([]byte(`{"services":{"x":{"cap":-1}},"rules":[{"path":"y","service":"z"}]}`), "config", "put", "-", "--base", strconv.Itoa(before))
		if after := l.revision(); code != 4 || after != before && after > 0 {
			l.note("invalid configuration", "exit code %d, revision %d -> %d", code, before, after)
		}
	}},
	{"domain emptied and restored", func(l *lab) {
		d := l.dep.Domains[l.rnd.IntN(len(l.dep.Domains))]
		t := time.Now()
		out, code := l.ctl(nil, "domain", "empty", d)
		l.say("empty %s: exit code %d after %v", d, code, time.Since(t).Round(time.Millisecond))
		if code != 0 {
			l.say("%s", strings.TrimSpace(out))
		}
		acked := time.Now()
		l.pause(3000, 5000)
		if code == 0 {
			l.checkEmptied(d, acked, time.Now())
		}
		for range 5 {
			if _, code := l.ctl(nil, "domain", "restore", d); code == 0 {
				break
			}
		}
	}},
}

// darken takes a domain's power for a while, and its core members' disks if wanted.
func (l *lab) darken(disks bool) {
	d := l.dep.Domains[l.rnd.IntN(len(l.dep.Domains))]
	l.say("domain %s loses power, its disks too: %v", d, disks)
	var off []*proc
	for _, p := range slices.Concat(l.cores, l.gates, l.stubs) {
		if p.domain == d && !p.stopped {
			p.kill()
			off = append(off, p)
			if disks {
				os.RemoveAll(l.path("data", p.name))
			}
		}
	}
	l.pause(2000, 5000)
	for _, p := range off {
		l.again(p)
	}
}

// cut parts some machines from all others for a while in ms.
func (l *lab) cut(in []*proc, out, back bool, lo, hi int) {
	var others []*proc
	for _, p := range slices.Concat(l.cores, l.gates, l.stubs) {
		if !slices.Contains(in, p) {
			others = append(others, p)
		}
	}
	l.net.set(pairs(in, others, out, back))
	l.pause(lo, hi)
	l.net.set(nil)
}

// whole wants full capacity back.
func (l *lab) whole() {
	t := time.Now()
	if err := l.serving(15 * time.Second); err != nil {
		l.note("capacity back", "%v", err)
		return
	}
	l.say("whole again after %.1f s", time.Since(t).Seconds())
}

func (l *lab) reconfigure() {
	b := l.revision()
	t := time.Now()
	out, code := l.putConfig(l.config, max(0, b))
	d := time.Since(t)
	l.say("configuration on %d: exit code %d after %v", b, code, d.Round(time.Millisecond))
	if code != 0 {
		l.say("%s", strings.TrimSpace(out))
		return
	}
	l.forces = append(l.forces, d.Seconds())
	for _, g := range l.gates {
		if g.stopped || g.frozen {
			continue
		}
		var v struct {
			Revision int
			State    string
		}
		if _, body := get("http://" + g.http + "/v1/status"); json.Unmarshal(body, &v) == nil && v.Revision < b+1 && (v.State == "granted" || v.State == "orphan") {
			l.note("in force everywhere", "%s serves on %d after %d was acknowledged", g.name, v.Revision, b+1)
		}
	}
}

// wipe ends a day with the loss of everything that was acknowledged.
func (l *lab) wipe() {
	l.say("every daemon is killed and every disk lost")
	l.history.Reset()
	for _, p := range slices.Concat(l.cores, l.gates) {
		p.kill()
	}
	os.RemoveAll(l.path("data"))
	t := time.Now()
	for _, p := range slices.Concat(l.cores, l.gates) {
		l.again(p)
	}
	err := l.configure(15 * time.Second)
	if err == nil {
		err = l.serving(max(0, 15*time.Second-time.Since(t)))
	}
	if err != nil {
		l.note("back in 15 s", "after a total loss: %v", err)
		return
	}
	l.say("serving again %.1f s after a total loss", time.Since(t).Seconds())
}

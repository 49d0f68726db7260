// This file starts a hollow fleet, measures it at rest and under changes, and ends it.

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"myrtlefold/internal/daemon"
)

type hollowLab struct {
	*lab
	f       *hollowFlags
	size    hollowSize
	parts   []*proc // of hollow gates
	backs   []*proc // of hollow targets
	spares  []*proc // core daemons that are no members
	figures []figure
}

func (l *hollowLab) fig(name string, v float64) { l.figures = append(l.figures, figure{name, v}) }

func procFile(p *proc, name string) string {
	b, _ := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), name))
	return string(b)
}

func (l *hollowLab) read() reading {
	r := reading{at: time.Now(), cpu: map[string]float64{}, mem: map[string]float64{}, core: map[string]map[string]float64{}}
	for _, p := range slices.Concat(l.cores, l.spares, l.gates, l.parts, l.backs) {
		r.cpu[p.name], r.mem[p.name] = procTime(procFile(p, "stat")), procMemory(procFile(p, "status"))
	}
	for _, p := range slices.Concat(l.cores, l.spares, l.gates) {
		_, b := get("http://" + p.http + "/metrics")
		r.core[p.name] = wireCounts(string(b))
	}
	r.gates = flowCounts(l.report(l.parts, nil).Flows)
	r.backs = l.report(l.backs, nil)
	return r
}

// patient is for processes that may be up to their necks in work.
var patient = &http.Client{Timeout: hollowPatience}

func (l *hollowLab) report(ps []*proc, q url.Values) (sum hollowReport) {
	for _, p := range ps {
		var r hollowReport
		if resp, err := patient.Get("http://" + p.http + "/report?" + q.Encode()); err == nil {
			json.NewDecoder(resp.Body).Decode(&r)
			resp.Body.Close()
		}
		sum.add(r)
	}
	return sum
}

// await looks at the hollow gates until they are as wanted; the time that took, -1: not in time.
func (l *hollowLab) await(from time.Time, bound time.Duration, q url.Values, is func(hollowReport) bool) float64 {
	for {
		if is(l.report(l.parts, q)) {
			return time.Since(from).Seconds()
		}
		if time.Since(from) > bound {
			return -1
		}
		time.Sleep(hollowPoll)
	}
}

// begin starts a fleet of the size and waits until its proxies are leased and its targets usable.
func (l *hollowLab) begin() error {
	for _, d := range []string{"set", "log", "data"} {
		if err := os.MkdirAll(l.path(d), 0o755); err != nil {
			return err
		}
	}
	l.cores, l.gates, l.stubs, l.parts, l.backs, l.spares, l.figures = nil, nil, nil, nil, nil, nil, nil
	seeds, https := l.placeCores()
	for _, p := range l.cores {
		if err := l.startCore(p, seeds); err != nil {
			return err
		}
	}
	if err := l.startTargets(https); err != nil {
		return err
	}
	l.config = hollowConfig(l.size.Targets, l.size.Routes)
	if err := l.configure(hollowUp); err != nil {
		return err
	}
	for _, p := range l.spares { // the core is founded without them
		l.stubs = append(l.stubs, p)
		if err := l.startCore(p, seeds); err != nil {
			return err
		}
	}
	from := time.Now()
	if err := l.startGates(seeds); err != nil {
		return err
	}
	return l.awaitUp(from)
}

// placeCores makes the members and the spare ones, and returns the addresses of the seeds and of
// the members' HTTP APIs.
func (l *hollowLab) placeCores() (seeds, https []string) {
	for i := range l.f.cores + l.f.spares {
		ip := hollowIP(l.f.net, coreBlock, i)
		p := &proc{name: fmt.Sprintf("core-%d", i+1), kind: "mfcontrol", domain: hollowDomain(i), addr: ip + ":7001", http: ip + ":7101"}
		if i >= l.f.cores {
			l.spares = append(l.spares, p)
			continue
		}
		l.cores = append(l.cores, p)
		https = append(https, p.http)
		if i < 3 {
			seeds = append(seeds, p.addr)
		}
	}
	return seeds, https
}

func (l *hollowLab) startCore(p *proc, seeds []string) error {
	return l.with(p, daemon.Settings{Name: p.name, Domain: p.domain, Addr: p.addr, HTTP: p.http, From: hostOf(p.addr), Seeds: seeds, Log: "info", Data: l.path("data", p.name), Size: l.f.cores})
}

// startTargets starts the processes that stand for all targets.
func (l *hollowLab) startTargets(https []string) error {
	for k := range l.f.targetProcs {
		first, end := l.size.Targets*k/l.f.targetProcs, l.size.Targets*(k+1)/l.f.targetProcs
		l.backs = append(l.backs, l.part("targets", l.f.gateProcs+k, first, end-first, strings.Join(https, ",")))
	}
	l.stubs = slices.Clone(l.backs)
	for _, p := range l.backs {
		if err := l.spawn(p); err != nil {
			return err
		}
	}
	return nil
}

// hollowGates is how many of the proxies share processes.
func (l *hollowLab) hollowGates() int { return l.size.Gates - l.f.real }

// startGates starts the processes that stand for the proxies, and the real proxies.
func (l *hollowLab) startGates(seeds []string) error {
	hollow := l.hollowGates()
	for k := range l.f.gateProcs {
		first, end := hollow*k/l.f.gateProcs, hollow*(k+1)/l.f.gateProcs
		if end == first {
			continue
		}
		p := l.part("gates", k, first, end-first, strings.Join(seeds, ","))
		l.parts, l.stubs = append(l.parts, p), append(l.stubs, p)
		if err := l.spawn(p); err != nil {
			return err
		}
	}
	for i := hollow; i < l.size.Gates; i++ {
		s := gateSettings(l.f.net, i, seeds)
		p := &proc{name: s.Name, kind: "mfproxy", domain: s.Domain, addr: s.Addr, http: s.HTTP, listen: s.Listen}
		l.gates = append(l.gates, p)
		if err := l.with(p, s); err != nil {
			return err
		}
	}
	return nil
}

// awaitUp waits until the proxies are leased and the targets usable, and notes how long that took.
func (l *hollowLab) awaitUp(from time.Time) error {
	hollow := l.hollowGates()
	bound := hollowUp
	if l.f.ramp > 0 {
		bound += time.Duration(hollow) * time.Second / time.Duration(l.f.ramp)
	}
	up := l.await(from, bound, nil, func(r hollowReport) bool { return r.Granted == hollow })
	l.fig("gates granted, s", up)
	if up >= 0 {
		up = l.await(from, bound, nil, func(r hollowReport) bool { return r.Usable == l.size.Targets })
		l.fig("targets usable, s", up)
	}
	if up < 0 {
		r := l.report(l.parts, nil)
		return fmt.Errorf("%v: %d of %d hollow gates granted (%d orphans, %d cut), %d targets usable %.0f s after their start", l.size, r.Granted, hollow, r.Orphan, r.Cut, r.Usable, time.Since(from).Seconds())
	}
	return nil
}

// with writes a daemon's settings and starts it.
func (l *hollowLab) with(p *proc, s daemon.Settings) error {
	if err := l.settle(p, s); err != nil {
		return err
	}
	return l.spawn(p)
}

func (l *hollowLab) part(kind string, k, first, count int, daemons string) *proc {
	p := &proc{name: fmt.Sprintf("%s-%d", kind, k), kind: "mfchaos", http: hollowIP(l.f.net, controlBlock, k) + ":7401"}
	p.args = []string{"hollow-part", "--kind", kind, "--net", strconv.Itoa(l.f.net), "--first", strconv.Itoa(first), "--count", strconv.Itoa(count),
		"--of", strconv.Itoa(l.size.Targets), "--beat", l.f.beat.String(), "--daemons", daemons, "--control", p.http}
	if kind == "gates" && l.f.ramp > 0 {
		p.args = append(p.args, "--ramp", strconv.Itoa(max(1, l.f.ramp/l.f.gateProcs)))
	}
	return p
}

// measure takes one run's figures.
func (l *hollowLab) measure() error {
	if err := l.begin(); err != nil {
		return err
	}
	time.Sleep(l.f.settle)
	lead := l.leader()
	if lead == nil {
		return fmt.Errorf("%v: nobody leads after %v", l.size, l.f.settle)
	}
	a := l.read()
	took := l.change(lead, l.f.span)
	b := l.read()
	l.cost(lead, a, b)
	for _, what := range []string{"roster", "targets"} {
		from := time.Now()
		_, text := get("http://" + lead.http + "/v1/" + what)
		l.fig("operator: "+what+", KB", float64(len(text))/1000)
		l.fig("operator: "+what+", ms", float64(time.Since(from).Microseconds())/1000)
	}
	if l.size.Changes > 0 {
		l.fig("changes in force, 1/s", float64(len(took))/b.at.Sub(a.at).Seconds())
	} else {
		took = nil
		for range l.f.rounds {
			took = append(took, l.patch(lead, len(took)))
		}
	}
	l.times("change in force", took)
	var leave, bar []float64
	for i := range l.f.rounds {
		leave = append(leave, l.gone(i, "leave"))
	}
	l.times("leaving word on all gates", leave)
	for i := range l.f.rounds {
		bar = append(bar, l.gone(l.f.rounds+i, "hang"))
	}
	l.times("silent target barred on all gates", bar)
	if l.size.Gates <= l.f.orphans {
		l.orphaned()
	}
	return nil
}

func (l *hollowLab) times(what string, s []float64) {
	if len(s) > 0 {
		mid, _, hi := median(s)
		l.fig(what+", s", mid)
		l.fig(what+", s, longest", hi)
	}
}

// change makes configuration changes at the size's rate for a span; how long each took.
func (l *hollowLab) change(lead *proc, span time.Duration) (took []float64) {
	end := time.Now().Add(span)
	if l.size.Changes > 0 {
		next := time.Now()
		for i := 0; time.Now().Before(end); i++ {
			took = append(took, l.patch(lead, i))
			next = next.Add(time.Duration(float64(time.Second) / l.size.Changes))
			time.Sleep(min(time.Until(next), time.Until(end)))
		}
	}
	time.Sleep(time.Until(end))
	return took
}

// patch changes one route; how long that took until it was answered as in force, -1: it was not.
func (l *hollowLab) patch(lead *proc, i int) float64 {
	_, b := get("http://" + lead.http + "/v1/status")
	var v struct{ Revision uint64 }
	json.Unmarshal(b, &v)
	body := fmt.Sprintf(`{"routes":{%q:{"timeout_ms":%d}}}`, hollowRoute(0), 2001+i%1000)
	req, _ := http.NewRequest("PATCH", fmt.Sprintf("http://%s/v1/config?base=%d", lead.http, v.Revision), strings.NewReader(body))
	from := time.Now()
	resp, err := (&http.Client{Timeout: hollowChange}).Do(req)
	if err != nil {
		return -1
	}
	resp.Body.Close()
	if resp.StatusCode != 200 {
		return -1
	}
	took := time.Since(from).Seconds()
	q := url.Values{"revision": {strconv.FormatUint(v.Revision+1, 10)}}
	if l.size.Changes == 0 && l.await(from, hollowChange, q, func(r hollowReport) bool { return r.At == r.Gates }) < 0 {
		return -1
	}
	return took
}

// gone has a target leave or fall silent; how long until no hollow gate would choose it.
func (l *hollowLab) gone(i int, how string) float64 {
	service, name := hollowTarget(i, l.size.Targets)
	q := url.Values{"service": {service}, "name": {name}}
	from := time.Now()
	go func() {
		for k, p := range l.backs {
			if i < l.size.Targets*(k+1)/len(l.backs) {
				if resp, err := client.Post(fmt.Sprintf("http://%s/%s?i=%d", p.http, how, i), "", nil); err == nil {
					resp.Body.Close()
				}
				return
			}
		}
	}()
	return l.await(from, hollowChange, q, func(r hollowReport) bool { return r.Out == r.Gates })
}

// leaderless freezes the core and measures the gates meanwhile.
func (l *hollowLab) orphaned() {
	for _, p := range slices.Concat(l.cores, l.spares) {
		p.signal(syscall.SIGSTOP)
	}
	time.Sleep(hollowSoon)
	a := l.gatesNow()
	time.Sleep(hollowFreeze - hollowSoon)
	b := l.gatesNow()
	r := l.report(l.parts, nil)
	l.fig("core frozen: gates that serve, %", 100*float64(r.Orphan+r.Granted)/float64(max(1, r.Gates)))
	l.perGate("core frozen: gate", a, b)
	l.fig("core frozen: gate, KB/s out as hello", rate(a.gates, b.gates, "bytes sent hello", b.at.Sub(a.at).Seconds())/float64(max(1, r.Gates))/1000)
	for _, p := range slices.Concat(l.cores, l.spares) {
		p.signal(syscall.SIGCONT)
	}
	l.fig("core back: gates granted, s", l.await(time.Now(), hollowUp, nil, func(r hollowReport) bool { return r.Granted == r.Gates }))
}

func (l *hollowLab) gatesNow() reading {
	r := reading{at: time.Now(), cpu: map[string]float64{}}
	for _, p := range l.parts {
		r.cpu[p.name] = procTime(procFile(p, "stat"))
	}
	r.gates = flowCounts(l.report(l.parts, nil).Flows)
	return r
}

// rate sums what grew between two readings, by prefix of the counters' names.
func rate(a, b map[string]float64, prefix string, sec float64) (sum float64) {
	for k, v := range b {
		if strings.HasPrefix(k, prefix) {
			sum += v - a[k]
		}
	}
	return sum / sec
}

func (l *hollowLab) perGate(who string, a, b reading) {
	sec, n := b.at.Sub(a.at).Seconds(), float64(l.size.Gates-l.f.real)
	cpu := 0.0
	for _, p := range l.parts {
		cpu += b.cpu[p.name] - a.cpu[p.name]
	}
	l.fig(who+", % of a core", 100*cpu/sec/n)
	l.fig(who+", messages/s", (rate(a.gates, b.gates, "messages ", sec))/n)
	l.fig(who+", KB/s in", rate(a.gates, b.gates, "bytes received ", sec)/n/1000)
	l.fig(who+", KB/s out", rate(a.gates, b.gates, "bytes sent ", sec)/n/1000)
}

// cost is what each role used between two readings.
func (l *hollowLab) cost(lead *proc, a, b reading) {
	sec := b.at.Sub(a.at).Seconds()
	daemon := func(who string, ps []*proc) {
		var cpu, mem, msgs, in, out float64
		for _, p := range ps {
			cpu += b.cpu[p.name] - a.cpu[p.name]
			mem += b.mem[p.name]
			msgs += rate(a.core[p.name], b.core[p.name], "messages ", sec)
			in += rate(a.core[p.name], b.core[p.name], "bytes received ", sec)
			out += rate(a.core[p.name], b.core[p.name], "bytes sent ", sec)
		}
		n := float64(max(1, len(ps)))
		l.fig(who+", % of a core", 100*cpu/sec/n)
		l.fig(who+", MB", mem/n)
		l.fig(who+", messages/s", msgs/n)
		l.fig(who+", KB/s in", in/n/1000)
		l.fig(who+", KB/s out", out/n/1000)
	}
	daemon("leader", []*proc{lead})
	daemon("member", slices.DeleteFunc(slices.Clone(l.cores), func(p *proc) bool { return p == lead }))
	if len(l.spares) > 0 {
		daemon("spare", l.spares)
	}
	l.perGate("gate", a, b)
	mem := 0.0
	for _, p := range l.parts {
		mem += b.mem[p.name]
	}
	n := float64(max(1, l.size.Gates-l.f.real))
	l.fig("gate, MB of its share", mem/n)
	for _, k := range []string{"hello", "push"} {
		l.fig("gate, KB/s in as "+k, rate(a.gates, b.gates, "bytes received "+k, sec)/n/1000)
	}
	if len(l.gates) > 0 {
		daemon("real gate", l.gates)
	}
	t := float64(l.size.Targets)
	l.fig("target, words/s", float64(b.backs.Words-a.backs.Words)/sec/t)
	l.fig("target, words failed/s", float64(b.backs.Failed-a.backs.Failed)/sec/t)
	l.fig("target, KB/s both ways", float64(b.backs.In+b.backs.Sent-a.backs.In-a.backs.Sent)/sec/t/1000)
}

// end ends what this run started and forgets its files.
func (l *hollowLab) end() {
	l.down()
	for _, d := range []string{"set", "data"} {
		os.RemoveAll(l.path(d))
	}
}

func load() float64 {
	b, _ := os.ReadFile("/proc/loadavg")
	f, _, _ := strings.Cut(string(b), " ")
	x, _ := strconv.ParseFloat(f, 64)
	return x
}

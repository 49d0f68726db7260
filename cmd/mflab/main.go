// Command mflab runs a whole fleet on this machine's loopback as separate
// processes, breaks it by a seeded script while mfload sends a deployment's mix,
// and prints a verdict per rule. It is the only program that starts processes,
// and it ends only those, by their numbers.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/host"
	"myrtlefold/model"
)

// Deployment is a fleet's shape.
type Deployment struct {
	Cores, Gates int
	Domains      []string
	Services     []Service
	Rate         float64
}

type Service struct {
	Name    string
	Targets int
	Work    string
	Bears   int
	Warm    string
}

var deployments = map[string]Deployment{
	"kelani": {3, 12, []string{"hill", "port", "coast"}, []Service{{"records", 30, "20ms", 24, "1500ms"}, {"monitoring", 6, "5ms", 48, "500ms"}}, 210},
	"kiyihat": {5, 8, []string{"north", "south", "isles", "quay"}, []Service{{"fares", 14, "4ms", 64, "500ms"},
		{"payments", 9, "25ms", 32, "1500ms"}, {"documents", 8, "30ms", 16, "1s"}}, 630},
	// press is small enough that one machine can ask it for twice what it bears: 4 targets
	// of 4 exchanges at a time and 40 ms each, 400 a second.
	"press": {3, 3, []string{"hill", "port", "coast"}, []Service{{"records", 4, "40ms", 4, "3s"}}, 400},
	"small": {3, 3, []string{"hill", "port", "coast"}, []Service{{"records", 4, "20ms", 24, "1s"}, {"monitoring", 3, "5ms", 48, "500ms"}}, 60},
}

type proc struct {
	name, kind, domain string
	args               []string
	cmd                *exec.Cmd
	addr, http, listen string
	bind               string // where it listens; the others reach it at addr, through a relay
	service            string
	frozen             bool
	stopped            bool
}

type lab struct {
	dep    Deployment
	name   string
	dir    string
	bin    string
	cores  []*proc
	gates  []*proc
	stubs  []*proc
	rnd    *rand.Rand
	start  time.Time
	config []byte
	faults []string
	forces []float64
	net    fabric
	broken map[string]int
	notes  []string
	routes bool // by routes: targets have health paths, slots, cold times and names of one start
}

func main() {
	app := kingpin.New("mflab", "Runs a whole fleet on loopback and breaks it by script.")
	app.Version(host.Version)
	app.HelpFlag.Short('h')
	l := &lab{broken: map[string]int{}, start: time.Now()}
	app.Flag("deployment", "kelani, kiyihat, small or press").Short('d').Default("small").EnumVar(&l.name, "kelani", "kiyihat", "small", "press")
	app.Flag("dir", "folder for settings, state, logs and ledgers (made anew)").Default("lab").StringVar(&l.dir)
	app.Flag("bin", "folder of the programs").Default("bin").StringVar(&l.bin)
	conf := app.Flag("config", "configuration (default: the deployment's sample)").String()
	app.Flag("routes", "configure by routes; back ends tell health, slots and how long they are cold, and take a new name at each start").BoolVar(&l.routes)
	app.Command("up", "start the fleet and leave it running until interrupted")
	run := app.Command("run", "start the fleet, load and break it, print a verdict per rule")
	seed := run.Flag("seed", "seed of the script").Default("1").Uint64()
	dur := run.Flag("for", "how long the load lasts").Default("40s").Duration()
	rate := run.Flag("rate", "exchanges a second (default: the deployment's)").Float64()
	gap := run.Flag("gap", "mean time between faults").Default("3s").Duration()
	only := run.Flag("fault", "only these faults (repeat)").Strings()
	last := run.Flag("wipe-at-end", "end with all core disks lost").Bool()
	meas := app.Command("measure", "measure what the README states: death to last exchange, change to in force, cost of carrying")
	rounds := meas.Flag("rounds", "how often").Default("9").Int()
	over := app.Command("overload", "ask a fleet (-d press) for half, all, twice and half of what it bears, then restart its service under load")
	phase := over.Flag("phase", "how long each part lasts").Default("12s").Duration()
	pols := app.Command("policies", "one target fails, then one is slow: load without and with the shipped policy, put in force under load, and compare on the recording")
	polPhase := pols.Flag("phase", "how long each load lasts").Default("12s").Duration()
	hol := &hollowFlags{}
	part := app.Command("hollow-part", "one process of a hollow fleet; hollow starts it").Hidden()
	hol.bind(app.Command("hollow", "measure what control costs with many gates and targets that share processes"), part)
	cmd, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "mflab: %v, see --help\n", err)
		os.Exit(2)
	}
	if cmd == part.FullCommand() {
		os.Exit(runPart(hol))
	}
	l.dep = deployments[l.name]
	file := *conf
	if file == "" {
		file = strings.Replace(l.name, "small", "kelani", 1)
		if l.routes {
			file += "-routes"
		}
		file = filepath.Join("sample", file+".json")
	}
	if l.config, err = os.ReadFile(file); err != nil {
		fmt.Fprintln(os.Stderr, "mflab:", err)
		os.Exit(2)
	}
	if l.config, err = model.Unnumbered(l.config); err != nil { // it is put again and again
		fmt.Fprintf(os.Stderr, "mflab: %s: %v\n", file, err)
		os.Exit(2)
	}
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, os.Interrupt, syscall.SIGTERM)
	code := 0
	done := make(chan int, 1)
	go func() {
		if cmd == "hollow" {
			done <- l.hollow(hol)
			return
		}
		if err := l.up(); err != nil {
			fmt.Fprintln(os.Stderr, "mflab:", err)
			done <- 1
			return
		}
		switch cmd {
		case "up":
			l.describe()
		case "run":
			if *rate == 0 {
				*rate = l.dep.Rate
			}
			done <- l.run(*seed, *dur, *rate, *gap, *only, *last)
		case "policies":
			done <- l.policies(*polPhase)
		case "overload":
			done <- l.overload(*phase)
		case "measure":
			done <- l.measure(*rounds)
		}
	}()
	select {
	case <-sig:
	case code = <-done:
	}
	l.down()
	os.Exit(code)
}

// ---- the fleet ----

func (l *lab) path(s ...string) string { return filepath.Join(append([]string{l.dir}, s...)...) }

// machine gives each machine an address of its own on loopback, and one at which the
// others reach it through the lab's relays.
func (l *lab) machine(block, i int) string { return fmt.Sprintf("127.20.%d.%d", block, i+1) }
func (l *lab) reached(block, i int) string { return fmt.Sprintf("127.21.%d.%d", block, i+1) }

func (l *lab) up() error {
	if err := os.RemoveAll(l.dir); err != nil {
		return err
	}
	for _, d := range []string{"set", "log", "data", "ledger"} {
		if err := os.MkdirAll(l.path(d), 0o755); err != nil {
			return err
		}
	}
	var seeds []string
	for i := range l.dep.Cores {
		ip := l.machine(1, i)
		p := &proc{name: fmt.Sprintf("core-%d", i+1), kind: "mfcore", domain: l.dep.Domains[i%len(l.dep.Domains)],
			addr: l.reached(1, i) + ":7001", bind: ip + ":7001", http: ip + ":7101"}
		l.cores = append(l.cores, p)
		if i < 3 {
			seeds = append(seeds, p.addr)
		}
	}
	for i := range l.dep.Gates {
		ip := l.machine(2, i)
		l.gates = append(l.gates, &proc{name: fmt.Sprintf("gate-%d", i+1), kind: "mfgate", domain: l.dep.Domains[i%len(l.dep.Domains)],
			addr: l.reached(2, i) + ":7001", bind: ip + ":7001", http: ip + ":7101", listen: ip + ":7201"})
	}
	for _, p := range slices.Concat(l.cores, l.gates) {
		for _, a := range []string{p.bind, p.http} {
			if err := l.net.relay(reachedAt(a), a); err != nil {
				return err
			}
		}
		s := host.Settings{Name: p.name, Domain: p.domain, Addr: p.addr, Bind: p.bind, From: hostOf(p.bind), Http: p.http, Listen: p.listen, Seeds: seeds, Log: "info"}
		if p.kind == "mfcore" {
			s.Data, s.Size = l.path("data", p.name), l.dep.Cores
		}
		b, _ := json.MarshalIndent(s, "", "  ")
		f := l.path("set", p.name+".json")
		if err := os.WriteFile(f, b, 0o644); err != nil {
			return err
		}
		p.args = []string{"--settings", f}
	}
	k := 0
	for si, s := range l.dep.Services {
		for i := range s.Targets {
			addr := fmt.Sprintf("%s:7301", l.reached(3+si, i))
			if err := l.net.relay(addr, fmt.Sprintf("%s:7301", l.machine(3+si, i))); err != nil {
				return err
			}
			l.stubs = append(l.stubs, l.stub(s, fmt.Sprintf("%s-%d", s.Name, i+1), addr, l.dep.Domains[k%len(l.dep.Domains)], "0s"))
			k++
		}
	}
	all := slices.Concat(l.cores, l.gates, l.stubs)
	for _, p := range all {
		if err := l.spawn(p); err != nil {
			return err
		}
	}
	if err := l.configure(20 * time.Second); err != nil {
		return err
	}
	return l.serving(10 * time.Second)
}

// healthURL is the samples' by routes, and coldFor is how long a back end stays cold there.
const (
	healthURL = "/health"
	coldFor   = 6 * time.Second
)

func (l *lab) stub(s Service, name, addr, domain, warm string) *proc {
	bind := boundAt(addr)
	p := &proc{name: name, kind: "mfstub", domain: domain, addr: addr, bind: bind, http: bind, service: s.Name}
	p.args = []string{"--service", s.Name, "--name", name, "--addr", addr, "--bind", bind, "--from", hostOf(bind), "--domain", domain, "--work", s.Work, "--bears", strconv.Itoa(s.Bears),
		"--warm", warm, "--ledger", l.path("ledger", name+".ledger")}
	if l.routes {
		p.args = append(p.args, "--health", healthURL, "--named", "--cold", coldFor.String())
	}
	for i, g := range l.gates {
		if i%4 == len(name)%4 {
			p.args = append(p.args, "--daemon", reachedAt(g.http))
		}
	}
	for _, c := range l.cores {
		p.args = append(p.args, "--daemon", reachedAt(c.http))
	}
	return p
}

func (l *lab) spawn(p *proc) error {
	f, err := os.OpenFile(l.path("log", p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	p.cmd = exec.Command(filepath.Join(l.bin, p.kind), p.args...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.stopped, p.frozen = false, false
	if err := p.cmd.Start(); err != nil {
		return err
	}
	return nil
}

func (p *proc) signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil && !p.stopped {
		p.cmd.Process.Signal(s)
	}
}

func (p *proc) kill() {
	if !p.stopped {
		p.signal(syscall.SIGKILL)
		p.cmd.Wait()
		p.stopped = true
	}
}

// stop is polite, and tells how the process ended.
func (p *proc) stop(bound time.Duration) (time.Duration, error) {
	t := time.Now()
	p.signal(syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- p.cmd.Wait() }()
	select {
	case err := <-done:
		p.stopped = true
		return time.Since(t), err
	case <-time.After(bound):
		p.cmd.Process.Kill()
		<-done
		p.stopped = true
		return bound, fmt.Errorf("%s did not stop in %v", p.name, bound)
	}
}

func (l *lab) down() {
	for _, p := range slices.Concat(l.gates, l.cores, l.stubs) {
		if p.cmd != nil {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
}

func (l *lab) at() string {
	var a []string
	for _, c := range l.cores {
		a = append(a, c.http)
	}
	return strings.Join(a, ",")
}

// ctl runs the operators' command as an operator would.
func (l *lab) ctl(in []byte, args ...string) (string, int) {
	c := exec.Command(filepath.Join(l.bin, "mfctl"), args...)
	c.Env = append(os.Environ(), "MFCTL_AT="+l.at())
	c.Stdin = bytes.NewReader(in)
	out, _ := c.CombinedOutput()
	return string(out), c.ProcessState.ExitCode()
}

func (l *lab) revision() int {
	out, code := l.ctl(nil, "-o", "json", "config", "get")
	var v struct{ Revision int }
	if code != 0 || json.Unmarshal([]byte(out), &v) != nil {
		return -1
	}
	return v.Revision
}

func (l *lab) configure(within time.Duration) error {
	end := time.Now().Add(within)
	for {
		out, code := l.ctl(l.config, "--wait", "3s", "config", "put", "-", "--base", strconv.Itoa(max(0, l.revision())))
		if code == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("no configuration in %v: %s", within, out)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

var client = &http.Client{Timeout: time.Second}

func get(url string) (int, []byte) {
	resp, err := client.Get(url)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, b
}

// serving waits until all proxies are ready and all running targets are known.
func (l *lab) serving(within time.Duration) error {
	end := time.Now().Add(within)
	for {
		ready, want := 0, 0
		for _, g := range l.gates {
			if !g.stopped && !g.frozen {
				want++
				if s, _ := get("http://" + g.http + "/ready"); s == 200 {
					ready++
				}
			}
		}
		out, code := l.ctl(nil, "-o", "json", "targets")
		var v struct{ Targets []struct{ Why string } }
		json.Unmarshal([]byte(out), &v)
		up := 0
		for _, t := range v.Targets {
			if t.Why == "serving" {
				up++
			}
		}
		run := 0
		for _, s := range l.stubs {
			if !s.stopped {
				run++
			}
		}
		if code == 0 && ready == want && up >= run {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d proxies ready, %d of %d targets serving after %v", ready, want, up, run, within)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (l *lab) describe() {
	fmt.Printf("the fleet is up after %.1f s\n", time.Since(l.start).Seconds())
	fmt.Println("operators:  export MFCTL_AT=" + l.at())
	var g []string
	for _, p := range l.gates {
		g = append(g, "--gate "+p.listen+"="+p.http)
	}
	fmt.Println("callers:    mfload --mix " + strings.Replace(l.name, "small", "kelani", 1) + " --ledgers " + l.path("ledger") + " " + strings.Join(g, " "))
	for _, p := range slices.Concat(l.cores, l.gates, l.stubs) {
		fmt.Printf("  %-14s %-7s %-6s pid %-7d %s\n", p.name, p.kind, p.domain, p.cmd.Process.Pid, p.listen)
	}
}

// ---- faults ----

func (l *lab) say(f string, a ...any) {
	fmt.Printf("%6.1f  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(f, a...))
}

func (l *lab) note(rule, f string, a ...any) {
	l.broken[rule]++
	l.notes = append(l.notes, rule+": "+fmt.Sprintf(f, a...))
	l.say("BROKEN %s: %s", rule, fmt.Sprintf(f, a...))
}

func (l *lab) some(ps []*proc) *proc {
	var up []*proc
	for _, p := range ps {
		if !p.stopped && !p.frozen {
			up = append(up, p)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[l.rnd.IntN(len(up))]
}

func (l *lab) pause(lo, hi int) {
	time.Sleep(time.Duration(lo+l.rnd.IntN(hi-lo+1)) * time.Millisecond)
}

func (l *lab) again(p *proc) {
	if err := l.spawn(p); err != nil {
		l.note("lab", "%v", err)
	}
}

func (l *lab) mode(p *proc, m string) {
	resp, err := client.Post("http://"+p.http+"/.stub/mode?set="+m, "", nil)
	if err == nil {
		resp.Body.Close()
	}
}

func (l *lab) leader() *proc {
	for _, c := range l.cores {
		if c.stopped || c.frozen {
			continue
		}
		_, b := get("http://" + c.http + "/v1/status")
		var v struct{ Lead string }
		if json.Unmarshal(b, &v) == nil && v.Lead == "deciding" {
			return c
		}
	}
	return nil
}

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
			m := []string{"hang", "lose", "garbage", "half", "slow:700ms", "fail", "stuck"}[l.rnd.IntN(7)]
			l.say("%s: %s", p.name, m)
			l.mode(p, m)
			l.pause(2000, 4000)
			l.mode(p, "ok")
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
		if !bytes.Contains(log, []byte("unsound; the old ones stay")) || !bytes.Contains(log, []byte("settings changed")) {
			l.note("settings changed", "%s said nothing of it", p.name)
		}
	}},
	{"config", func(l *lab) { l.reconfigure() }},
	{"config pair", func(l *lab) {
		b := strconv.Itoa(l.revision())
		ch := make(chan int, 2)
		for range 2 {
			go func() {
				_, code := l.ctl(l.config, "config", "put", "-", "--base", b)
				ch <- code
			}()
		}
		x, y := <-ch, <-ch
		l.say("two changes on revision %s: exit codes %d and %d", b, x, y)
		if x == 0 && y == 0 {
			l.note("one base", "both changes on %s were accepted", b)
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
	out, code := l.ctl(l.config, "config", "put", "-", "--base", strconv.Itoa(b))
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

// checkEmptied looks for exchanges that began in an emptied domain.
func (l *lab) checkEmptied(domain string, from, to time.Time) {
	files, _ := filepath.Glob(l.path("ledger", "*.ledger"))
	late := 0
	for _, f := range files {
		b, _ := os.ReadFile(f)
		for line := range bytes.Lines(b) {
			var e struct {
				At     int64  `json:"at_ns"`
				Domain string `json:"domain"`
			}
			if json.Unmarshal(line, &e) == nil && e.Domain == domain && e.At > from.UnixNano()+5e9/10 && e.At < to.UnixNano() {
				late++
			}
		}
	}
	if late > 0 {
		l.note("emptied domain", "%d exchanges ran in %s more than 0.5 s after it was emptied", late, domain)
	}
}

// checkCold looks in the ledgers for seconds in which a cold target ran more than its
// service's rate and the half over it that whole turns can make.
func (l *lab) checkCold() {
	var cfg struct {
		Services map[string]struct {
			PerS float64 `json:"cold_per_s"`
		}
	}
	if err := json.Unmarshal(l.config, &cfg); err != nil {
		l.note("cold rate", "the configuration is not read: %v", err)
		return
	}
	files, _ := filepath.Glob(l.path("ledger", "*.ledger"))
	ran, most := 0, 0
	for _, f := range files {
		b, _ := os.ReadFile(f)
		at := map[string][]int64{}
		for line := range bytes.Lines(b) {
			var e struct {
				At      int64 `json:"at_ns"`
				Service string
				Name    string
				Cold    bool
			}
			if json.Unmarshal(line, &e) != nil || !e.Cold {
				continue
			}
			ran++
			w := append(at[e.Name], e.At)
			slices.Sort(w)
			w = slices.DeleteFunc(w, func(t int64) bool { return t <= e.At-1e9 })
			at[e.Name] = w
			most = max(most, len(w))
			if rate := cfg.Services[e.Service].PerS; rate > 0 && float64(len(w)) > 1.5*rate {
				l.note("cold rate", "%s ran %d exchanges in a second while cold, of %g", e.Name, len(w), rate)
			}
		}
	}
	l.say("%d exchanges ran at cold targets, at most %d in a second at one", ran, most)
}

// ---- runs ----

func (l *lab) loadArgs(rate float64, d time.Duration) []string {
	mix := strings.Replace(l.name, "small", "kelani", 1)
	if l.name == "press" {
		mix = filepath.Join("sample", "press-mix.json")
	}
	a := []string{"--mix", mix, "--rate", fmt.Sprint(rate), "--for", d.String(), "--ledgers", l.path("ledger"), "-o", "json"}
	for _, g := range l.gates {
		a = append(a, "--gate", g.listen+"="+g.http)
	}
	return a
}

func (l *lab) run(seed uint64, dur time.Duration, rate float64, gap time.Duration, only []string, wipe bool) int {
	l.rnd = rand.New(rand.NewPCG(seed, 2))
	l.say("fleet %s is up: %d cores, %d proxies, %d targets", l.name, len(l.cores), len(l.gates), len(l.stubs))
	kinds := faults
	if len(only) > 0 {
		kinds = slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !slices.Contains(only, f.name) })
	}
	if len(kinds) == 0 {
		fmt.Println("no such fault; there are:")
		for _, f := range faults {
			fmt.Println(" ", f.name)
		}
		return 2
	}
	out, err := os.Create(l.path("load.json"))
	if err != nil {
		fmt.Println(err)
		return 1
	}
	load := exec.Command(filepath.Join(l.bin, "mfload"), l.loadArgs(rate, dur)...)
	load.Stdout, load.Stderr = out, os.Stderr
	if err := load.Start(); err != nil {
		fmt.Println(err)
		return 1
	}
	end := time.Now().Add(dur - 6*time.Second)
	for time.Now().Before(end) {
		f := kinds[l.rnd.IntN(len(kinds))]
		l.faults = append(l.faults, f.name)
		f.do(l)
		time.Sleep(min(time.Duration(l.rnd.ExpFloat64()*float64(gap)), 3*gap, max(0, time.Until(end))))
	}
	load.Wait()
	out.Close()
	if err := l.serving(15 * time.Second); err != nil {
		l.note("back in 15 s", "%v", err)
	}
	if wipe {
		l.wipe()
	}
	return l.verdict(seed)
}

// wipe ends a day with the loss of everything that was acknowledged.
func (l *lab) wipe() {
	l.say("every daemon is killed and every disk lost")
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

func (l *lab) verdict(seed uint64) int {
	var rep map[string]any
	b, _ := os.ReadFile(l.path("load.json"))
	if json.Unmarshal(b, &rep) != nil {
		fmt.Println("the load generator left no report")
		return 1
	}
	num := func(k string) int { f, _ := rep[k].(float64); return int(f) }
	for rule, k := range map[string]string{"runs twice": "ran_twice", "refused but ran": "ran_though_refused", "wrong answer": "wrong_answers",
		"wrong service": "wrong_service", "leaving target": "to_leaving_after_2s", "come back when": "refused_without_retry_after"} {
		if n := num(k); n > 0 {
			l.note(rule, "%d", n)
		}
	}
	if l.routes {
		l.checkCold()
	}
	fmt.Printf("\nseed %d, %s, faults: %s\n", seed, l.name, strings.Join(l.faults, ", "))
	fmt.Printf("offered %d, served %d, refused %d, unknown %d, no answer %d, latency ms %v, latest to a leaving target %d ms\n",
		num("offered"), num("served"), num("refused"), num("unknown"), num("no_answer"), rep["latency_ms"], num("latest_to_leaving_ms"))
	for _, e := range rep["examples"].([]any) {
		fmt.Println("  e.g.", e)
	}
	for _, r := range []string{"runs twice", "refused but ran", "wrong answer", "wrong service", "leaving target", "cold rate", "come back when", "emptied domain",
		"in force everywhere", "one base", "invalid configuration", "planned restart", "settings changed", "capacity back", "back in 15 s"} {
		if r == "cold rate" && !l.routes {
			continue
		}
		v := "held"
		if l.broken[r] > 0 {
			v = fmt.Sprintf("BROKEN %d times", l.broken[r])
		}
		fmt.Printf("  %-22s %s\n", r, v)
	}
	if len(l.broken) > 0 {
		return 1
	}
	return 0
}

// measure prints what is written in the docs.
func (l *lab) measure(rounds int) int {
	l.rnd = rand.New(rand.NewPCG(1, 2))
	var force, death, direct, carried, ratio []float64
	for range rounds {
		b := l.revision()
		t := time.Now()
		resp, err := l.put(b)
		if err != nil || resp != 200 {
			fmt.Println("put:", resp, err)
			return 1
		}
		force = append(force, time.Since(t).Seconds()*1000)
	}
	l.say("PUT to in force on %d proxies, ms: %s", len(l.gates), spread(force))
	for range rounds {
		p := l.some(l.stubs)
		var last time.Duration
		p.kill()
		t := time.Now()
		for time.Since(t) < 4*time.Second {
			opened := l.dials(p)
			if opened != "out" {
				last = time.Since(t)
			}
			time.Sleep(10 * time.Millisecond)
		}
		death = append(death, last.Seconds()*1000)
		l.again(p)
		l.serving(10 * time.Second)
	}
	l.say("target's death to its bar on the last proxy, ms: %s", spread(death))
	s := l.stubs[0]
	for range rounds {
		d := l.pings("http://"+s.http, s.service, 300)
		c := l.pings("http://"+l.gates[0].listen, s.service, 300)
		direct, carried, ratio = append(direct, d), append(carried, c), append(ratio, c/d)
	}
	l.say("median exchange without work, ms: straight to a back end %s, through a proxy %s, ratio pair by pair %s", spread(direct), spread(carried), spread(ratio))
	return 0
}

// policies shows what a shipped policy changes on real exchanges. It is put in
// force a quarter into the second load, so that the switch itself is seen too.
func (l *lab) policies(phase time.Duration) int {
	bad := 0
	rec, err := os.Create(l.path("events.jsonl"))
	if err != nil {
		fmt.Println(err)
		return 1
	}
	stream := exec.Command(filepath.Join(l.bin, "mfctl"), "stream")
	stream.Env = append(os.Environ(), "MFCTL_AT="+l.at())
	stream.Stdout = rec
	if err := stream.Start(); err != nil {
		fmt.Println(err)
		return 1
	}
	for _, c := range []struct{ policy, mode string }{{"failing", "fail"}, {"slow", "slow:900ms"}} {
		for _, with := range []bool{false, true} {
			l.mode(l.stubs[0], c.mode)
			if with {
				go func() {
					time.Sleep(phase / 4)
					out, code := l.ctl(nil, "policy", "put", c.policy, filepath.Join("sample", "policies", c.policy+".json"), "--base", strconv.Itoa(l.revision()))
					l.say("put %s: exit code %d %s", c.policy, code, strings.TrimSpace(out))
				}()
			}
			out, _ := exec.Command(filepath.Join(l.bin, "mfload"), l.loadArgs(l.dep.Rate, phase)...).Output()
			var rep struct {
				Offered, Served, Refused, Unknown, Wrong int
				Twice                                    int                `json:"ran_twice"`
				NoAnswer                                 int                `json:"no_answer"`
				Ms                                       map[string]float64 `json:"latency_ms"`
			}
			json.Unmarshal(out, &rep)
			bad += rep.Wrong + rep.Twice + rep.NoAnswer
			l.say("%s is '%s', policy %s in force %v: offered %d, served %d, failed %d, refused %d, no answer %d, p50 %.0f p99 %.0f ms", l.stubs[0].name, c.mode, c.policy, with,
				rep.Offered, rep.Served, rep.Unknown, rep.Refused, rep.NoAnswer, rep.Ms["p50"], rep.Ms["p99"])
		}
		l.mode(l.stubs[0], "ok")
		l.ctl(nil, "policy", "remove", c.policy, "--base", strconv.Itoa(l.revision()))
	}
	stream.Process.Signal(syscall.SIGTERM)
	stream.Wait()
	rec.Close()
	files, _ := filepath.Glob("sample/policies/*.json")
	out, code := l.ctl(nil, append([]string{"policy", "compare", "--events", l.path("events.jsonl")}, files...)...)
	fmt.Print(out)
	return min(bad+code, 1)
}

// overload shows goodput, refusals and recovery as demand goes past what is borne,
// and what reaches targets that come back cold.
func (l *lab) overload(phase time.Duration) int {
	bad := 0
	load := func(rate float64) (rep struct {
		Offered, Served, Refused, Unknown int
		Goodput                           float64            `json:"goodput_per_s"`
		Refusal                           float64            `json:"refusal_median_ms"`
		Ms                                map[string]float64 `json:"latency_ms"`
		RetryAfter                        map[string]int     `json:"retry_after"`
		Groups                            map[string]struct {
			Agents int                `json:"user_agents"`
			Asked  int                `json:"asked"`
			Served int                `json:"user_agents_served"`
			Ms     map[string]float64 `json:"latency_ms"`
		} `json:"groups"`
	}) {
		out, err := exec.Command(filepath.Join(l.bin, "mfload"), l.loadArgs(rate, phase)...).Output()
		if err != nil {
			bad++
		}
		json.Unmarshal(out, &rep)
		return rep
	}
	l.say("%8s %8s %8s %8s %8s %9s %9s %9s  retry-after", "rate", "offered", "goodput", "refused", "unknown", "p50 ms", "p99 ms", "refuse ms")
	row := func(rate float64) {
		r := load(rate)
		l.say("%8.0f %8d %8.1f %8d %8d %9.1f %9.1f %9.1f  %v", rate, r.Offered, r.Goodput, r.Refused, r.Unknown, r.Ms["p50"], r.Ms["p99"], r.Refusal, r.RetryAfter)
		for _, k := range []string{"polite", "at_once"} {
			g := r.Groups[k]
			l.say("%26s: %d user agents asked %d times, %d served, p50 %.0f p99 %.0f ms", k, g.Agents, g.Asked, g.Served, g.Ms["p50"], g.Ms["p99"])
		}
	}
	for _, x := range []float64{0.5, 0.9, 1, 2, 0.5} {
		row(l.dep.Rate * x)
	}
	l.say("the whole service restarts cold under its full rate; each target bears 1 exchange while it warms")
	done := make(chan struct{})
	go func() {
		time.Sleep(phase / 4)
		for i, p := range l.stubs {
			p.kill()
			*p = *l.stub(l.dep.Services[0], p.name, p.addr, p.domain, "3s")
			l.again(l.stubs[i])
		}
		close(done)
	}()
	row(l.dep.Rate)
	<-done
	most := 0
	files, _ := filepath.Glob(l.path("ledger", "*.ledger"))
	for _, f := range files {
		b, _ := os.ReadFile(f)
		for line := range bytes.Lines(b) {
			var e struct {
				State  string
				InWork int `json:"in_work"`
			}
			if json.Unmarshal(line, &e) == nil && e.State == "warming" {
				most = max(most, e.InWork)
			}
		}
	}
	l.say("most exchanges at once at a warming target: %d", most)
	if l.routes {
		l.checkCold()
		bad += l.broken["cold rate"]
	}
	if most > 2 {
		bad++
	}
	return min(bad, 1)
}

func (l *lab) put(base int) (int, error) {
	req, _ := http.NewRequest("PUT", fmt.Sprintf("http://%s/v1/config?base=%d", l.leader().http, base), bytes.NewReader(l.config))
	resp, err := (&http.Client{Timeout: 10 * time.Second}).Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// dials says whether any proxy would still choose p.
func (l *lab) dials(p *proc) string {
	for _, g := range l.gates {
		var v struct {
			Targets []struct {
				Service, Name string
				BarMs         int64 `json:"bar_left_ms"`
				OwnBarMs      int64 `json:"own_bar_left_ms"`
			}
		}
		_, b := get("http://" + g.http + "/v1/status")
		json.Unmarshal(b, &v)
		for _, t := range v.Targets {
			if t.Name == p.name && t.BarMs == 0 && t.OwnBarMs == 0 {
				return "in"
			}
		}
	}
	return "out"
}

func (l *lab) pings(base, svc string, n int) float64 {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	var ms []float64
	for range n {
		req, _ := http.NewRequest("GET", base+"/"+svc+"/x", nil)
		req.Header.Set("Stub-Work-Ms", "0")
		t := time.Now()
		resp, err := c.Do(req)
		if err != nil {
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		ms = append(ms, time.Since(t).Seconds()*1000)
	}
	slices.Sort(ms)
	return ms[len(ms)/2]
}

func spread(l []float64) string {
	s := slices.Clone(l)
	slices.Sort(s)
	return fmt.Sprintf("median %.2f (min %.2f, max %.2f, n %d)", s[len(s)/2], s[0], s[len(s)-1], len(s))
}

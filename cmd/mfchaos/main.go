// Command mfchaos runs a whole fleet on this machine's loopback as separate
// processes, breaks it by a seeded script while mfload sends a deployment's mix,
// and prints a verdict per rule. It is the only program that starts processes,
// and it ends only those, by their numbers.
package main

import (
	"bytes"
	"cmp"
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

	"myrtlefold/internal/daemon"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/version"
	"myrtlefold/internal/verification/linearizability"
)

// Deployment is a fleet's shape.
type Deployment struct {
	Cores, Gates int
	Domains      []string
	Services     []Service
	Rate         float64 // requests a second
}

// Service is a service of a deployment and how its stand-in back ends behave.
type Service struct {
	Name    string
	Targets int
	Work    string // how long a request takes
	Bears   int    // requests at once
	Warm    string // how long a restarted one warms up
}

var deployments = map[string]Deployment{
	"kelani": {3, 12, []string{"hill", "port", "coast"}, []Service{{"records", 30, "20ms", 24, "1500ms"}, {"monitoring", 6, "5ms", 48, "500ms"}}, 210},
	"kiyihat": {5, 8, []string{"north", "south", "isles", "quay"}, []Service{{"fares", 14, "4ms", 64, "500ms"},
		{"payments", 9, "25ms", 32, "1500ms"}, {"documents", 8, "30ms", 16, "1s"}}, 630},
	// press is small enough that one machine can ask it for twice what it bears: 4 targets
	// of 4 requests at a time and 40 ms each, 400 a second.
	"press": {3, 3, []string{"hill", "port", "coast"}, []Service{{"records", 4, "40ms", 4, "3s"}}, 400},
	"small": {3, 3, []string{"hill", "port", "coast"}, []Service{{"records", 4, "20ms", 24, "1s"}, {"monitoring", 3, "5ms", 48, "500ms"}}, 60},
}

// proc is a process of the fleet.
type proc struct {
	name, kind, domain string
	program            string // path of its program, "": that of its kind
	args               []string
	cmd                *exec.Cmd
	addr, http, listen string
	bind               string // where it listens; the others reach it at addr, through a relay
	service            string
	frozen             bool
	stopped            bool
}

// lab is a fleet and what was seen of it.
type lab struct {
	dep     Deployment
	name    string
	dir     string
	bin     string
	cores   []*proc
	gates   []*proc
	stubs   []*proc
	rnd     *rand.Rand
	start   time.Time
	config  []byte
	faults  []string
	forces  []float64
	net     fabric
	initial programs // what the fleet starts with, by kind of process; of others: what stands in bin
	broken  map[string]int
	history linearizability.Log
	notes   []string
	grace   time.Duration // until a process that was asked to stop is ended by force, as daemons are told; 0: they are not
	routes  bool          // by routes: targets have health paths, slots, cold times and names of one start
}

// options are the flags and arguments that do not stand in the lab itself.
type options struct {
	config      string
	seed        uint64
	span        time.Duration
	rate        float64
	gap         time.Duration
	only        []string
	wipe        bool
	rounds      int
	phase       time.Duration
	policyPhase time.Duration
	soak        soakOptions
	upgrade     upgradeOptions
	net         int
}

// define puts the commands and flags on the command line.
func (l *lab) define(app *kingpin.Application, o *options) {
	app.Flag("deployment", "kelani, kiyihat, small or press").Short('d').Default("small").EnumVar(&l.name, "kelani", "kiyihat", "small", "press")
	app.Flag("dir", "folder for settings, state, logs and ledgers (made anew)").Default("lab").StringVar(&l.dir)
	app.Flag("bin", "folder of the programs").Default("bin").StringVar(&l.bin)
	app.Flag("loopback", "second number of the lab's loopback addresses; it takes the next one too").Default(strconv.Itoa(firstNet)).IntVar(&o.net)
	app.Flag("config", "configuration (default: the deployment's sample)").StringVar(&o.config)
	app.Flag("routes", "configure by routes; back ends tell health, slots and how long they are cold, and take a new name at each start").BoolVar(&l.routes)
	app.Command("up", "start the fleet and leave it running until interrupted")
	run := app.Command("run", "start the fleet, load and break it, print a verdict per rule")
	run.Flag("seed", "seed of the script").Default("1").Uint64Var(&o.seed)
	run.Flag("for", "how long the load lasts").Default("40s").DurationVar(&o.span)
	run.Flag("rate", "exchanges a second (default: the deployment's)").Float64Var(&o.rate)
	run.Flag("gap", "mean time between faults").Default("3s").DurationVar(&o.gap)
	run.Flag("fault", "only these faults (repeat)").StringsVar(&o.only)
	run.Flag("wipe-at-end", "end with all core disks lost").BoolVar(&o.wipe)
	measure := app.Command("measure", "measure what the README states: death to last exchange, change to in force, cost of carrying")
	measure.Flag("rounds", "how often").Default("9").IntVar(&o.rounds)
	overload := app.Command("overload", "ask a fleet (-d press) for half, all, twice and half of what it bears, then restart its service under load")
	overload.Flag("phase", "how long each part lasts").Default("12s").DurationVar(&o.phase)
	policies := app.Command("policies", "one target fails, then one is slow: load without and with the shipped policy, put in force under load, and compare on the recording")
	policies.Flag("phase", "how long each load lasts").Default("12s").DurationVar(&o.policyPhase)
	o.soak.bind(app.Command("soak", "stops, hangups and changes in series that overlap, under callers that use their connections until a process is gone"))
	o.upgrade.bind(app.Command("upgrade", "roll a fleet of earlier daemons to the present ones and back, under callers and changes; nothing is lost, nothing is damaged"))
}

func main() {
	app := kingpin.New("mfchaos", "Runs a whole fleet on loopback and breaks it by script.")
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	l := &lab{broken: map[string]int{}, start: time.Now()}
	o := &options{}
	l.define(app, o)
	cmd, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "mfchaos: %v, see --help\n", err)
		os.Exit(2)
	}
	addresses = addressesOf(o.net)
	l.dep = deployments[l.name]
	if cmd == "soak" {
		l.dep, l.routes, l.grace = o.soak.deployment(), true, o.soak.grace
		o.config = filepath.Join("sample", "kelani-routes.json")
	}
	if cmd == "upgrade" {
		l.dep, l.routes, l.grace = o.upgrade.soak.deployment(), true, o.upgrade.soak.grace
		l.initial = o.upgrade.earlier()
		o.config = filepath.Join("sample", "kelani-routes.json")
	}
	if err := l.readConfig(o.config); err != nil {
		fmt.Fprintln(os.Stderr, "mfchaos:", err)
		os.Exit(2)
	}
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, os.Interrupt, syscall.SIGTERM)
	code := 0
	done := make(chan int, 1)
	go l.perform(cmd, o, done)
	select {
	case <-sig:
	case code = <-done:
	}
	l.down()
	os.Exit(code)
}

// readConfig reads the configuration from a file or (without a name) the deployment's sample.
func (l *lab) readConfig(file string) error {
	if file == "" {
		file = strings.Replace(l.name, "small", "kelani", 1)
		if l.routes {
			file += "-routes"
		}
		file = filepath.Join("sample", file+".json")
	}
	doc, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if l.config, err = config.WithoutRevision(doc); err != nil { // it is put again and again
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

// perform carries out a command and sends the exit code; 'up' sends none, and lasts until a signal.
func (l *lab) perform(cmd string, o *options, done chan<- int) {
	if err := l.up(); err != nil {
		fmt.Fprintln(os.Stderr, "mfchaos:", err)
		done <- 1
		return
	}
	switch cmd {
	case "up":
		l.describe()
	case "run":
		if o.rate == 0 {
			o.rate = l.dep.Rate
		}
		done <- l.run(o.seed, o.span, o.rate, o.gap, o.only, o.wipe)
	case "policies":
		done <- l.policies(o.policyPhase)
	case "overload":
		done <- l.overload(o.phase)
	case "soak":
		done <- l.runSoak(&o.soak)
	case "upgrade":
		done <- l.runUpgrade(&o.upgrade)
	case "measure":
		done <- l.measure(o.rounds)
	}
}

func (l *lab) path(s ...string) string { return filepath.Join(append([]string{l.dir}, s...)...) }

// machine gives each machine an address of its own on loopback, and one at which the
// others reach it through the lab's relays.
func (l *lab) machine(block, i int) string {
	return fmt.Sprintf("%s%d.%d", addresses.bound, block, i+1)
}

func (l *lab) reached(block, i int) string {
	return fmt.Sprintf("%s%d.%d", addresses.reached, block, i+1)
}

// up starts the fleet and waits until it serves.
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
		p := &proc{name: fmt.Sprintf("core-%d", i+1), kind: "mfcontrol", domain: l.dep.Domains[i%len(l.dep.Domains)],
			addr: l.reached(1, i) + ":7001", bind: ip + ":7001", http: ip + ":7101"}
		l.cores = append(l.cores, p)
		if i < 3 {
			seeds = append(seeds, p.addr)
		}
	}
	for i := range l.dep.Gates {
		ip := l.machine(2, i)
		l.gates = append(l.gates, &proc{name: fmt.Sprintf("gate-%d", i+1), kind: "mfproxy", domain: l.dep.Domains[i%len(l.dep.Domains)],
			addr: l.reached(2, i) + ":7001", bind: ip + ":7001", http: ip + ":7101", listen: ip + ":7201"})
	}
	for _, p := range slices.Concat(l.cores, l.gates) {
		for _, a := range []string{p.bind, p.http} {
			if err := l.net.relay(reachedAt(a), a); err != nil {
				return err
			}
		}
		s := daemon.Settings{Name: p.name, Domain: p.domain, Addr: p.addr, Bind: p.bind, LocalIP: hostOf(p.bind), HTTP: p.http, Listen: p.listen, Seeds: seeds, LogLevel: "info", GraceMs: int(l.grace.Milliseconds())}
		if p.kind == "mfcontrol" {
			s.Data, s.Size = l.path("data", p.name), l.dep.Cores
		}
		if err := l.settle(p, s); err != nil {
			return err
		}
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
		p.program = l.initial[p.kind]
		if err := l.spawn(p); err != nil {
			return err
		}
	}
	if err := l.configure(20 * time.Second); err != nil {
		return err
	}
	return l.serving(10 * time.Second)
}

// settle writes a daemon's settings to its file and has it start with them.
func (l *lab) settle(p *proc, s daemon.Settings) error {
	b, _ := json.MarshalIndent(s, "", "  ")
	f := l.path("set", p.name+".json")
	if err := os.WriteFile(f, b, 0o644); err != nil {
		return err
	}
	p.args = []string{"--settings", f}
	return nil
}

// healthURL is the samples' by routes, and coldFor is how long a back end stays cold there.
const (
	healthURL = "/health"
	coldFor   = 6 * time.Second
)

// stub is a back end's process, not started yet.
func (l *lab) stub(s Service, name, addr, domain, warm string) *proc {
	bind := boundAt(addr)
	p := &proc{name: name, kind: "mfbackend", domain: domain, addr: addr, bind: bind, http: bind, service: s.Name}
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

// spawn starts a process, which ends with this one.
func (l *lab) spawn(p *proc) error {
	f, err := os.OpenFile(l.path("log", p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	p.cmd = exec.Command(cmp.Or(p.program, filepath.Join(l.bin, p.kind)), p.args...)
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

// stop ends a process by SIGTERM and returns how long that took and how it ended.
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

// down kills all processes.
func (l *lab) down() {
	for _, p := range slices.Concat(l.gates, l.cores, l.stubs) {
		if p.cmd != nil {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
}

// at is the members' addresses for mfctl.
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

// configure puts the configuration in force.
func (l *lab) configure(within time.Duration) error {
	end := time.Now().Add(within)
	for {
		out, code := l.putConfig(l.config, max(0, l.revision()), "--wait", "3s")
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

// get returns the status and body at url, 0: no answer.
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
				if s, _ := get("http://" + g.http + "/ready"); s == http.StatusOK {
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

func (l *lab) say(f string, a ...any) {
	fmt.Printf("%6.1f  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(f, a...))
}

// some is one of the processes that run, nil: none does.
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

// leader is the member that leads now, nil: none does.
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

// run loads and breaks the fleet and returns the exit code.
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
	l.checkHistory()
	if wipe {
		l.wipe()
	}
	return l.verdict(seed)
}

// put puts the configuration once more by the API itself.
func (l *lab) put(base int) (int, error) {
	req, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/v1/config?base=%d", l.leader().http, base), bytes.NewReader(l.config))
	resp, err := (&http.Client{Timeout: 10 * time.Second}).Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// This file is a fleet on loopback: its processes, their addresses and settings, and when it serves.

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"myrtlefold/internal/daemon"
	"myrtlefold/internal/verification/linearizability"
)

// fleet is a fleet and what was seen of it.
type fleet struct {
	deployment     Deployment
	name           string
	dir            string
	bin            string
	controls       []*process
	proxies        []*process
	backends       []*process
	random         *rand.Rand
	startedAt      time.Time
	config         []byte
	faults         []string
	inForceSeconds []float64
	network        network
	initial        programs // what the fleet starts with, by kind of process; of others: what stands in bin
	violations     map[string]int
	history        linearizability.Log
	violationTexts []string
	grace          time.Duration // until a process that was asked to stop is ended by force, as their settings say; 0: they do not
	routes         bool          // by routes: targets have health paths, slots, warm-up times and a name for each incarnation
}

func (f *fleet) path(s ...string) string { return filepath.Join(append([]string{f.dir}, s...)...) }

// boundAddress gives each boundAddress an address of its own on loopback, and one at which the
// others reach it through the lab's relays.
func (f *fleet) boundAddress(block, i int) string {
	return fmt.Sprintf("%s%d.%d", addresses.bound, block, i+1)
}

func (f *fleet) reachedAddress(block, i int) string {
	return fmt.Sprintf("%s%d.%d", addresses.reached, block, i+1)
}

// start starts the fleet and waits until it serves.
func (f *fleet) start() error {
	if err := f.makeFolders(); err != nil {
		return err
	}
	f.addControls()
	f.addProxies()
	if err := f.configureDaemons(); err != nil {
		return err
	}
	if err := f.addBackends(); err != nil {
		return err
	}
	for _, p := range slices.Concat(f.controls, f.proxies, f.backends) {
		p.program = f.initial[p.kind]
		if err := f.startProcess(p); err != nil {
			return err
		}
	}
	if err := f.configure(20 * time.Second); err != nil {
		return err
	}
	return f.awaitServing(10 * time.Second)
}

// makeFolders makes the fleet's folder anew.
func (f *fleet) makeFolders() error {
	if err := os.RemoveAll(f.dir); err != nil {
		return err
	}
	for _, folder := range []string{"set", "log", "data", "ledger"} {
		if err := os.MkdirAll(f.path(folder), 0o755); err != nil {
			return err
		}
	}
	return nil
}

// Blocks of loopback addresses: one for each kind of daemon, then one for each service's back ends.
const (
	controlBlock = 1
	proxyBlock   = 2
	backendBlock = 3
)

func (f *fleet) addControls() {
	for i := range f.deployment.Controls {
		ip := f.boundAddress(controlBlock, i)
		f.controls = append(f.controls, &process{name: fmt.Sprintf("core-%d", i+1), kind: controlProgram, domain: f.domain(i),
			addr: f.reachedAddress(controlBlock, i) + ":7001", bind: ip + ":7001", http: ip + ":7101"})
	}
}

func (f *fleet) addProxies() {
	for i := range f.deployment.Proxies {
		ip := f.boundAddress(proxyBlock, i)
		f.proxies = append(f.proxies, &process{name: fmt.Sprintf("gate-%d", i+1), kind: proxyProgram, domain: f.domain(i),
			addr: f.reachedAddress(proxyBlock, i) + ":7001", bind: ip + ":7001", http: ip + ":7101", listen: ip + ":7201"})
	}
}

// domain is the failure domain of the i-th process of a kind.
func (f *fleet) domain(i int) string {
	return f.deployment.Domains[i%len(f.deployment.Domains)]
}

// seedsMax is how many control daemons stand in the settings of the others.
const seedsMax = 3

// configureDaemons writes each daemon's settings and opens the relays before its addresses.
func (f *fleet) configureDaemons() error {
	var seeds []string
	for _, p := range f.controls[:min(seedsMax, len(f.controls))] {
		seeds = append(seeds, p.addr)
	}
	for _, p := range slices.Concat(f.controls, f.proxies) {
		for _, a := range []string{p.bind, p.http} {
			if err := f.network.relay(reachedAt(a), a); err != nil {
				return err
			}
		}
		settings := daemon.Settings{Name: p.name, Domain: p.domain, Addr: p.addr, Bind: p.bind, LocalIP: hostOf(p.bind), HTTP: p.http, Listen: p.listen,
			Seeds: seeds, LogLevel: "info", GraceMs: int(f.grace.Milliseconds())}
		if p.kind == controlProgram {
			settings.Data, settings.Size = f.path("data", p.name), f.deployment.Controls
		}
		if err := f.writeSettings(p, settings); err != nil {
			return err
		}
	}
	return nil
}

// addBackends adds the back ends of all services, each behind a relay.
func (f *fleet) addBackends() error {
	for block, service := range f.deployment.Services {
		for i := range service.Targets {
			addr := fmt.Sprintf("%s:7301", f.reachedAddress(backendBlock+block, i))
			if err := f.network.relay(addr, fmt.Sprintf("%s:7301", f.boundAddress(backendBlock+block, i))); err != nil {
				return err
			}
			domain := f.domain(len(f.backends))
			f.backends = append(f.backends, f.newBackend(service, fmt.Sprintf("%s-%d", service.Name, i+1), addr, domain, "0s"))
		}
	}
	return nil
}

// writeSettings writes a daemon's settings to its file and has it start with them.
func (f *fleet) writeSettings(p *process, s daemon.Settings) error {
	b, _ := json.MarshalIndent(s, "", "  ")
	file := f.path("set", p.name+".json")
	if err := os.WriteFile(file, b, 0o644); err != nil {
		return err
	}
	p.args = []string{"--settings", file}
	return nil
}

// healthURL is the samples' by routes, and warmupTime is how long a back end warms up there.
const (
	healthURL  = "/health"
	warmupTime = 6 * time.Second
)

// newBackend is a back end's process, not started yet.
func (f *fleet) newBackend(service Service, name, addr, domain, warm string) *process {
	bind := boundAt(addr)
	p := &process{name: name, kind: backendProgram, domain: domain, addr: addr, bind: bind, http: bind, service: service.Name}
	p.args = []string{"--service", service.Name, "--name", name, "--addr", addr, "--bind", bind, "--from", hostOf(bind), "--domain", domain, "--work", service.Work, "--bears", strconv.Itoa(service.Bears),
		"--warm", warm, "--ledger", f.path("ledger", name+".ledger")}
	if f.routes {
		p.args = append(p.args, "--health", healthURL, "--named", "--cold", warmupTime.String())
	}
	for i, g := range f.proxies {
		if i%4 == len(name)%4 {
			p.args = append(p.args, "--daemon", reachedAt(g.http))
		}
	}
	for _, c := range f.controls {
		p.args = append(p.args, "--daemon", reachedAt(c.http))
	}
	return p
}

// killAll kills all processes.
func (f *fleet) killAll() {
	for _, p := range slices.Concat(f.proxies, f.controls, f.backends) {
		if p.cmd != nil {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
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

// awaitServing waits until all proxies are ready and all running targets are known.
func (f *fleet) awaitServing(within time.Duration) error {
	end := time.Now().Add(within)
	for {
		ready, want := 0, 0
		for _, g := range f.proxies {
			if !g.stopped && !g.frozen {
				want++
				if s, _ := get("http://" + g.http + "/ready"); s == http.StatusOK {
					ready++
				}
			}
		}
		out, code := f.ctl(nil, "-o", "json", "targets")
		var v struct{ Targets []struct{ Why string } }
		json.Unmarshal([]byte(out), &v)
		serving := 0
		for _, t := range v.Targets {
			if t.Why == "serving" {
				serving++
			}
		}
		run := 0
		for _, s := range f.backends {
			if !s.stopped {
				run++
			}
		}
		if code == 0 && ready == want && serving >= run {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d proxies ready, %d of %d targets serving after %v", ready, want, serving, run, within)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (f *fleet) describe() {
	fmt.Printf("the fleet is up after %.1f s\n", time.Since(f.startedAt).Seconds())
	fmt.Println("operators:  export MFCTL_AT=" + f.controlAddresses())
	var g []string
	for _, p := range f.proxies {
		g = append(g, "--gate "+p.listen+"="+p.http)
	}
	fmt.Println("callers:    mfload --mix " + strings.Replace(f.name, "small", "kelani", 1) + " --ledgers " + f.path("ledger") + " " + strings.Join(g, " "))
	for _, p := range slices.Concat(f.controls, f.proxies, f.backends) {
		fmt.Printf("  %-14s %-7s %-6s pid %-7d %s\n", p.name, p.kind, p.domain, p.cmd.Process.Pid, p.listen)
	}
}

func (f *fleet) logf(format string, args ...any) {
	fmt.Printf("%6.1f  %s\n", time.Since(f.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// pickRunning draws one of the processes that run, nil: none does.
func (f *fleet) pickRunning(ps []*process) *process {
	var up []*process
	for _, p := range ps {
		if !p.stopped && !p.frozen {
			up = append(up, p)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[f.random.IntN(len(up))]
}

func (f *fleet) pause(lo, hi int) {
	time.Sleep(time.Duration(lo+f.random.IntN(hi-lo+1)) * time.Millisecond)
}

func (f *fleet) restart(p *process) {
	if err := f.startProcess(p); err != nil {
		f.violation("lab", "%v", err)
	}
}

func (f *fleet) setMode(p *process, m string) {
	resp, err := client.Post("http://"+p.http+"/.stub/mode?set="+m, "", nil)
	if err == nil {
		resp.Body.Close()
	}
}

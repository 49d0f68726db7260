// This file starts a fleet on loopback: it assigns addresses, writes settings, starts the processes and waits until they serve.

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
	"sync"
	"syscall"
	"time"

	"myrtlefold/internal/daemon"
	"myrtlefold/internal/verification/linearizability"
)

// fleet is a running deployment and the results collected from it.
type fleet struct {
	deployment        Deployment
	deploymentName    string // key in deployments, the value of --deployment
	dir               string // holds settings, state, logs and request logs
	bin               string // directory of the programs
	controls          []*process
	proxies           []*process
	backends          []*process
	random            *rand.Rand
	startedAt         time.Time
	config            []byte    // configuration without its revision
	faults            []string  // names of the injected faults, in order
	inForceSeconds    []float64 // duration of each accepted configuration change
	network           network
	initial           programs       // program that each kind of process is first started with; a kind without an entry uses the one in bin
	violationsMutex   sync.Mutex     // guards the next two fields while several goroutines check rules
	violations        map[string]int // count by rule
	history           linearizability.History
	violationMessages []string
	grace             time.Duration // written to the daemons' settings: time from SIGTERM until a process is killed; 0 leaves it unset
	routes            bool          // the configuration uses routes; back ends have a health path, slots, a warm-up time and a new name at each start
}

// path returns a path below the fleet's directory.
func (f *fleet) path(elements ...string) string {
	return filepath.Join(append([]string{f.dir}, elements...)...)
}

// bindAddress returns the loopback address on which machine i of an address block listens.
func (f *fleet) bindAddress(block, i int) string {
	return fmt.Sprintf("%s%d.%d", prefixes.bind, block, i+1)
}

// relayAddress returns the loopback address at which the other machines reach machine i of an address block, through a relay.
func (f *fleet) relayAddress(block, i int) string {
	return fmt.Sprintf("%s%d.%d", prefixes.relay, block, i+1)
}

// start starts the fleet and waits until it serves.
func (f *fleet) start() error {
	if err := f.createDirectories(); err != nil {
		return err
	}
	f.addControls()
	f.addProxies()
	if err := f.writeDaemonSettings(); err != nil {
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
	if err := f.putInitialConfig(20 * time.Second); err != nil {
		return err
	}
	return f.awaitServing(10 * time.Second)
}

// createDirectories deletes the fleet's directory and creates it again, with empty subdirectories.
func (f *fleet) createDirectories() error {
	if err := os.RemoveAll(f.dir); err != nil {
		return err
	}
	for _, directory := range []string{"set", "log", "data", "ledger"} {
		if err := os.MkdirAll(f.path(directory), 0o755); err != nil {
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
		ip := f.bindAddress(controlBlock, i)
		f.controls = append(f.controls, &process{name: fmt.Sprintf("core-%d", i+1), kind: controlProgram, domain: f.domain(i),
			addr: f.relayAddress(controlBlock, i) + ":7001", bind: ip + ":7001", http: ip + ":7101"})
	}
}

func (f *fleet) addProxies() {
	for i := range f.deployment.Proxies {
		ip := f.bindAddress(proxyBlock, i)
		f.proxies = append(f.proxies, &process{name: fmt.Sprintf("gate-%d", i+1), kind: proxyProgram, domain: f.domain(i),
			addr: f.relayAddress(proxyBlock, i) + ":7001", bind: ip + ":7001", http: ip + ":7101", listen: ip + ":7201"})
	}
}

// domain returns the failure domain of the i-th process of a kind.
func (f *fleet) domain(i int) string {
	return f.deployment.Domains[i%len(f.deployment.Domains)]
}

// maxSeeds limits how many control daemons are listed as seed nodes in the daemons' settings.
const maxSeeds = 3

// writeDaemonSettings writes each daemon's settings file and opens the relays in front of its addresses.
func (f *fleet) writeDaemonSettings() error {
	var seeds []string
	for _, p := range f.controls[:min(maxSeeds, len(f.controls))] {
		seeds = append(seeds, p.addr)
	}
	for _, p := range slices.Concat(f.controls, f.proxies) {
		for _, a := range []string{p.bind, p.http} {
			if err := f.network.relay(relayAddressOf(a), a); err != nil {
				return err
			}
		}
		settings := daemon.Settings{Name: p.name, Domain: p.domain, Addr: p.addr, Bind: p.bind, LocalIP: hostOf(p.bind), HTTP: p.http, Listen: p.listen,
			Seeds: seeds, LogLevel: "info", GraceMs: int(f.grace.Milliseconds())}
		if p.kind == controlProgram {
			settings.Data, settings.Size = f.path("data", p.name), f.deployment.Controls
			if f.deployment.ReserveDomain != "" {
				settings.Domains = append(slices.Clone(f.deployment.Domains), f.deployment.ReserveDomain)
			}
		}
		if err := f.writeSettings(p, settings); err != nil {
			return err
		}
	}
	return nil
}

// addBackends adds the back ends of all services and opens a relay in front of each.
func (f *fleet) addBackends() error {
	for block, service := range f.deployment.Services {
		for i := range service.Targets {
			addr := fmt.Sprintf("%s:7301", f.relayAddress(backendBlock+block, i))
			if err := f.network.relay(addr, fmt.Sprintf("%s:7301", f.bindAddress(backendBlock+block, i))); err != nil {
				return err
			}
			domain := f.domain(len(f.backends))
			f.backends = append(f.backends, f.newBackend(service, fmt.Sprintf("%s-%d", service.Name, i+1), addr, domain, "0s"))
		}
	}
	return nil
}

// writeSettings writes a daemon's settings file and sets the arguments that make the daemon read it.
func (f *fleet) writeSettings(p *process, s daemon.Settings) error {
	b, _ := json.MarshalIndent(s, "", "  ")
	file := f.path("set", p.name+".json")
	if err := os.WriteFile(file, b, 0o644); err != nil {
		return err
	}
	p.args = []string{"--settings", file}
	return nil
}

// Settings of back ends when the configuration uses routes.
const (
	checkPath       = "/health"       // path of the health check in the sample configurations
	limitedRateTime = 6 * time.Second // time after its start for which a back end gets requests at its service's warm-up rate only
)

// newBackend returns the process of a back end without starting it. warmingStateTime is the time after its start for which
// it reports the state warming, as a Go duration; it is independent of limitedRateTime.
func (f *fleet) newBackend(service Service, name, addr, domain, warmingStateTime string) *process {
	bind := bindAddressOf(addr)
	p := &process{name: name, kind: backendProgram, domain: domain, addr: addr, bind: bind, http: bind, service: service.Name}
	p.args = []string{"--service", service.Name, "--name", name, "--addr", addr, "--bind", bind, "--from", hostOf(bind), "--domain", domain, "--work", service.RequestTime, "--bears", strconv.Itoa(service.Concurrency),
		"--warm", warmingStateTime, "--ledger", f.path("ledger", name+".ledger")}
	if f.routes {
		p.args = append(p.args, "--health", checkPath, "--named", "--cold", limitedRateTime.String())
	}
	for i, proxy := range f.proxies {
		if i%4 == len(name)%4 {
			p.args = append(p.args, "--daemon", relayAddressOf(proxy.http))
		}
	}
	for _, c := range f.controls {
		p.args = append(p.args, "--daemon", relayAddressOf(c.http))
	}
	return p
}

// killAll kills all processes, including those that are suspended.
func (f *fleet) killAll() {
	for _, p := range slices.Concat(f.proxies, f.controls, f.backends) {
		if p.cmd != nil {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
}

// client is the HTTP client for queries of the fleet's processes.
var client = &http.Client{Timeout: time.Second}

// httpGet returns the status and the body of url. The status is 0 if there was no response.
func httpGet(url string) (int, []byte) {
	resp, err := client.Get(url)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, b
}

// awaitServing waits until all running proxies are ready and mfctl lists at least as many serving targets as there are
// running back ends.
func (f *fleet) awaitServing(within time.Duration) error {
	end := time.Now().Add(within)
	for {
		ready, want := 0, 0
		for _, proxy := range f.proxies {
			if !proxy.stopped && !proxy.frozen {
				want++
				if s, _ := httpGet("http://" + proxy.http + "/ready"); s == http.StatusOK {
					ready++
				}
			}
		}
		out, code := f.runCtl(nil, "-o", "json", "targets")
		var v struct{ Targets []struct{ Why string } }
		json.Unmarshal([]byte(out), &v)
		serving := 0
		for _, t := range v.Targets {
			if t.Why == "serving" {
				serving++
			}
		}
		running := 0
		for _, s := range f.backends {
			if !s.stopped {
				running++
			}
		}
		if code == 0 && ready == want && serving >= running {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d proxies ready, %d of %d targets serving after %v", ready, want, serving, running, within)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// describe prints the running fleet and the environment and arguments with which mfctl and mfload reach it.
func (f *fleet) describe() {
	fmt.Printf("the fleet serves after %.1f s\n", time.Since(f.startedAt).Seconds())
	fmt.Println("operators:  export MFCTL_AT=" + f.controlHTTPAddresses())
	var proxyArgs []string
	for _, p := range f.proxies {
		proxyArgs = append(proxyArgs, "--gate "+p.listen+"="+p.http)
	}
	fmt.Println("callers:    mfload --mix " + strings.Replace(f.deploymentName, "small", "kelani", 1) + " --ledgers " + f.path("ledger") + " " + strings.Join(proxyArgs, " "))
	for _, p := range slices.Concat(f.controls, f.proxies, f.backends) {
		fmt.Printf("  %-14s %-7s %-6s pid %-7d %s\n", p.name, p.kind, p.domain, p.cmd.Process.Pid, p.listen)
	}
}

// logf prints a line with the time since the start in seconds.
func (f *fleet) logf(format string, args ...any) {
	fmt.Printf("%6.1f  %s\n", time.Since(f.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// pickRunning returns a random one of the processes that are neither stopped nor suspended, or nil if there is none.
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

// sleepBetween sleeps for a random time between two bounds in ms, both included.
func (f *fleet) sleepBetween(minMs, maxMs int) {
	time.Sleep(time.Duration(minMs+f.random.IntN(maxMs-minMs+1)) * time.Millisecond)
}

// restart starts a process again; a failure to start is recorded as a violation.
func (f *fleet) restart(p *process) {
	if err := f.startProcess(p); err != nil {
		f.recordViolation(ruleTestEnvironment, "%v", err)
	}
}

// setFaultMode makes a back end misbehave in the given way, or behave again with "ok". Errors are ignored: the back end
// may be down.
func (f *fleet) setFaultMode(p *process, mode string) {
	resp, err := client.Post("http://"+p.http+"/.stub/mode?set="+mode, "", nil)
	if err == nil {
		resp.Body.Close()
	}
}

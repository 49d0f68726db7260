package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is a machine of the fleet with its only process.
type machine struct {
	name, role, zone, ip string
	folder               string
	settings             string
	process              *exec.Cmd
	exited               chan struct{} // closed when the process has ended
}

// fleet is a small deployment on loopback addresses: core machines and gates in several zones.
type fleet struct {
	folder  string
	port    int // of the API of core machines; the others follow it
	cores   []*machine
	proxies []*machine
	mutex   sync.Mutex
}

// zones are the zones of the deployment.
var zones = []string{"eminkoy-iskele", "karakum-iskele", "merkez-salon", "tersane-depo"}

// coreZones holds the zone of each core machine, as an index of zones.
var coreZones = []int{0, 0, 1, 2, 3}

// proxiesPerZone is the number of gates in each zone.
const proxiesPerZone = 2

// portsUsed is how many ports a machine uses, from fleet.port on.
const portsUsed = 20

// newFleet prepares the folders and settings files of a deployment in a temporary folder.
func newFleet() (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder}
	for i, zone := range coreZones {
		f.cores = append(f.cores, f.newMachine("core", zone, i))
	}
	for zone := range zones {
		for i := range proxiesPerZone {
			f.proxies = append(f.proxies, f.newMachine("gate", zone, 10+i))
		}
	}
	if err := f.choosePorts(); err != nil {
		return nil, err
	}
	for _, m := range f.machines() {
		if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o755); err != nil {
			return nil, err
		}
		m.settings = filepath.Join(m.folder, "boot.toml")
		if err := f.writeSettings(m, true); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) newMachine(role string, zone, number int) *machine {
	class := map[string]string{"core": "sorting", "gate": "counter"}[role]
	name := fmt.Sprintf("%s-%s-%d", class, zones[zone], number)
	return &machine{
		name: name, role: role, zone: zones[zone],
		ip:     fmt.Sprintf("127.77.%d.%d", zone+1, number+1),
		folder: filepath.Join(f.folder, name),
	}
}

// machines returns all machines, the core machines first.
func (f *fleet) machines() []*machine { return append(append([]*machine{}, f.cores...), f.proxies...) }

// choosePorts chooses ports that are free at the addresses of all machines.
func (f *fleet) choosePorts() error {
	for range 50 {
		f.port = 21000 + rand.IntN(8000)
		free := true
		for _, m := range f.machines() {
			for i := 0; free && i < portsUsed; i++ {
				free = isFree(fmt.Sprintf("%s:%d", m.ip, f.port+i))
			}
		}
		if free {
			return nil
		}
	}
	return errors.New("no free ports")
}

func isFree(addr string) bool {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	listener.Close()
	return true
}

// api returns the address of a core machine's API.
func (f *fleet) api(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.port) }

// counter returns the address of a gate for clients.
func (f *fleet) counter(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.port+1) }

// ready returns the address of a gate for the platform's readiness check.
func (f *fleet) ready(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.port+2) }

// writeSettings writes the settings file of a machine.
func (f *fleet) writeSettings(m *machine, firstStart bool) error {
	var text strings.Builder
	class, serves, ports, limits := "counter", "counter", fmt.Sprintf("counter = %q\nready = %q", f.counter(m), f.ready(m)),
		"cpuShare = 0.32\ncores = 1\nmemoryMb = 284\nfileHandles = 4100\nlinkMbps = 1000.0\ndiskMb = 0"
	counted, data := false, ""
	if m.role == "core" {
		class, serves, ports = "sorting", "dispatch", fmt.Sprintf("control = %q", f.api(m))
		limits = "cpuShare = 0.24\ncores = 1\nmemoryMb = 280\nfileHandles = 4096\nlinkMbps = 1000.0\ndiskMb = 256"
		counted, data = true, fmt.Sprintf("dataDir = %q\n", filepath.Join(m.folder, "data"))
	}
	fmt.Fprintf(&text, "node = %q\nrole = %q\nmachineClass = %q\nserves = [%q]\nip = %q\ndomain = %q\nregion = \"marmara-kiyi\"\n",
		m.name, m.role, class, serves, m.ip, m.zone)
	fmt.Fprintf(&text, "innerPorts = [%d,%d]\nseedNodes = [%q,%q,%q]\nfirstStart = %v\ncounted = %v\n%s",
		f.port+4, f.port+portsUsed-1, f.api(f.cores[0]), f.api(f.cores[2]), f.api(f.cores[3]), firstStart, counted, data)
	text.WriteString("discovery = \"enrol\"\nentry = \"post_box\"\nbeat = 1500\n")
	text.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\"]\n\n[zones]\n")
	for _, zone := range zones {
		fmt.Fprintf(&text, "%s = \"marmara-kiyi\"\n", zone)
	}
	fmt.Fprintf(&text, "\n[ports]\n%s\n\n[limits]\n%s\n\n[tolerance]\nmachines = 1\nzones = 1\nregions = 0\n\n", ports, limits)
	text.WriteString("[bounds]\nseedLag = 3\nreuseAfter = 2\ncontact = 3000\nreceipt = 4000\ncatchUp = 4\ndrain = 2000\ngrace = 6\n" +
		"lostSlack = 200\nedition_time = 2000\nreturn = 250\nstretch_time = 5000\nretryRatio = 0.2\nretryWindow = 10\nretrySlack = 56\n" +
		"coldOver = 1.5\ncoldSlack = 5\nevacuate = 5000\nrecover = 15\n")
	return os.WriteFile(m.settings, []byte(text.String()), 0o644)
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	logFile, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	process := exec.Command("target/mfnode", m.role)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "MYRTLEFOLD_NODE_FILE=" + m.settings}
	process.Stdout, process.Stderr = logFile, logFile
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		process.Wait()
		close(exited)
	}()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m.process, m.exited = process, exited
	return nil
}

// startAll starts all machines.
func (f *fleet) startAll() error {
	for _, m := range f.machines() {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

// stopAll kills all processes, waits until they have ended, and removes the temporary folder.
func (f *fleet) stopAll() {
	for _, m := range f.machines() {
		f.kill(m)
	}
	os.RemoveAll(f.folder)
}

// kill kills the process of a machine and waits until it has ended.
func (f *fleet) kill(m *machine) {
	if m.process != nil {
		m.process.Process.Signal(syscall.SIGCONT)
		m.process.Process.Kill()
		<-m.exited
	}
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(s os.Signal) { m.process.Process.Signal(s) }

// callTimeout is how long a caller of the core waits for an answer.
const callTimeout = 2 * time.Second

// call makes one call to the API of a core machine, on a connection of its own.
func (f *fleet) call(m *machine, method, path, base string, body []byte) (status int, answer []byte, err error) {
	request, err := http.NewRequest(method, "http://"+f.api(m)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if base != "" {
		request.Header.Set("If-Match", base)
	}
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// order makes a call to one core machine after another until one answers with a status below 500 other than 408 and 429,
// or the time is up. It returns that status, 0 if there was none.
func (f *fleet) order(within time.Duration, method, path, base string, body []byte) (status int, answer []byte) {
	end := time.Now().Add(within)
	for i := 0; time.Now().Before(end); i++ {
		status, answer, err := f.call(f.cores[i%len(f.cores)], method, path, base, body)
		if err == nil && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status, answer
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, nil
}

// awaitReady waits until all gates say that they are ready.
func (f *fleet) awaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, m := range f.proxies {
		for !f.isReady(m) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// isReady asks a gate whether it is ready.
func (f *fleet) isReady(m *machine) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + f.ready(m) + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

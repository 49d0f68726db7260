// This file starts, signals and stops one process of the fleet.

package main

import (
	"cmp"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Programs of a fleet; also the kinds of its processes.
const (
	controlProgram = "mfcontrol"
	proxyProgram   = "mfproxy"
	backendProgram = "mfbackend"
)

// process is a daemon or back end of the fleet.
type process struct {
	name, domain string
	kind         string // controlProgram, proxyProgram or backendProgram
	program      string // path of the program; "": the one of its kind in the fleet's bin directory
	args         []string
	cmd          *exec.Cmd
	addr         string // advertised address: a relay in front of bind
	bind         string // address on which it listens
	http         string // address of its HTTP API
	listen       string // address for callers; proxies only
	service      string // back ends only
	frozen       bool   // suspended; the current faults do not set it, since each resumes its process before it ends
	stopped      bool   // it has ended and was waited for
}

// startProcess starts a process and appends its output to its log. The kernel kills it when this process dies.
func (f *fleet) startProcess(p *process) error {
	logFile, err := os.OpenFile(f.path("log", p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	p.cmd = exec.Command(cmp.Or(p.program, filepath.Join(f.bin, p.kind)), p.args...)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.stopped, p.frozen = false, false
	if err := p.cmd.Start(); err != nil {
		return err
	}
	return nil
}

func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil && !p.stopped {
		p.cmd.Process.Signal(s)
	}
}

// kill ends a process by SIGKILL and waits for it.
func (p *process) kill() {
	if !p.stopped {
		p.signal(syscall.SIGKILL)
		p.cmd.Wait()
		p.stopped = true
	}
}

// stop ends a process by SIGTERM, or by SIGKILL after a timeout. It returns how long that took and the process's exit error.
func (p *process) stop(timeout time.Duration) (time.Duration, error) {
	t := time.Now()
	p.signal(syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- p.cmd.Wait() }()
	select {
	case err := <-done:
		p.stopped = true
		return time.Since(t), err
	case <-time.After(timeout):
		p.cmd.Process.Kill()
		<-done
		p.stopped = true
		return timeout, fmt.Errorf("%s did not stop within %v of SIGTERM", p.name, timeout)
	}
}

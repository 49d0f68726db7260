// This file is a process of the fleet: its start, its signals and its end.

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

// Programs of a fleet.
const (
	controlProgram = "mfcontrol"
	proxyProgram   = "mfproxy"
	backendProgram = "mfbackend"
)

// process is a process of the fleet.
type process struct {
	name, domain       string
	kind               string // one of the programs
	program            string // path of its program, "": that of its kind
	args               []string
	cmd                *exec.Cmd
	addr, http, listen string
	bind               string // where it listens; the others reach it at addr, through a relay
	service            string
	frozen             bool
	stopped            bool
}

// startProcess starts a process, which ends with this one.
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

func (p *process) kill() {
	if !p.stopped {
		p.signal(syscall.SIGKILL)
		p.cmd.Wait()
		p.stopped = true
	}
}

// stop ends a process by SIGTERM and returns how long that took and how it ended.
func (p *process) stop(bound time.Duration) (time.Duration, error) {
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

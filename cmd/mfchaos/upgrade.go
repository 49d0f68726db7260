// This file tests upgrades: a fleet of daemons of an earlier version is upgraded to the current version and rolled back,
// one daemon at a time, while callers keep their connections and an operator changes the configuration. Then all daemons are
// killed at once, and daemons of the current version start with the data that the earlier version stored. Nothing acknowledged
// may be lost, and no control daemon may report damaged data.

package main

import (
	"encoding/json"
	"net/http"
	"path/filepath"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

const (
	upgradeReadyWait = 15 * time.Second // for a restarted daemon to become ready
	upgradePause     = time.Second      // between two restarts, so that both versions run together for a while
)

// upgradeOptions are the flags of command upgrade.
type upgradeOptions struct {
	soak    soakOptions
	control string // program of the earlier control daemon
	proxy   string // program of the earlier proxy
}

// bind declares the flags.
func (o *upgradeOptions) bind(command *kingpin.CmdClause) {
	command.Flag("old-control", "program of the earlier control daemon").Required().ExistingFileVar(&o.control)
	command.Flag("old-proxy", "program of the earlier proxy").Required().ExistingFileVar(&o.proxy)
	command.Flag("seed", "seed of the operator and the callers").Default("1").Uint64Var(&o.soak.seed)
	command.Flag("grace", "time from SIGTERM until a process is killed").Default("3s").DurationVar(&o.soak.grace)
	command.Flag("proxies", "proxy daemons").Default("3").IntVar(&o.soak.proxies)
	command.Flag("cores", "control daemons").Default("3").IntVar(&o.soak.controls)
	command.Flag("targets", "back ends").Default("9").IntVar(&o.soak.targets)
	command.Flag("callers", "callers, with one connection each").Default("40").IntVar(&o.soak.callers)
}

// programs are the paths of programs, by the kind of the process that runs them.
type programs map[string]string

func (o *upgradeOptions) earlierPrograms() programs {
	return programs{controlProgram: o.control, proxyProgram: o.proxy}
}

func (f *fleet) currentPrograms() programs {
	return programs{controlProgram: filepath.Join(f.bin, controlProgram), proxyProgram: filepath.Join(f.bin, proxyProgram)}
}

// runUpgrade upgrades a running fleet of daemons of an earlier version, rolls it back and starts it again with the current
// programs. It returns the exit code.
func (f *fleet) runUpgrade(opts *upgradeOptions) int {
	s := &soak{fleet: f, options: &opts.soak, startedAt: time.Now(), log: newEventLog()}
	f.logf("upgrade %d: %d control daemons, %d proxies, %d targets, %d callers", opts.soak.seed, len(f.controls), len(f.proxies), len(f.backends), opts.soak.callers)
	callers := s.startCallers()
	operator := s.startOperator()
	s.rollTo("forward", f.currentPrograms())
	s.rollTo("back", opts.earlierPrograms())
	operator.finish()
	outcomes := callers.finish()
	s.checkDamage("after the rollback")
	for _, p := range slices.Concat(s.controls, s.proxies) {
		p.program = f.currentPrograms()[p.kind]
	}
	operator.checkAfterLoss()
	s.checkDamage("after the restart with the current programs")
	return s.report(outcomes)
}

// rollTo restarts all daemons, one after another, each with the program that to has for its kind.
func (s *soak) rollTo(direction string, to programs) {
	for _, p := range slices.Concat(s.controls, s.proxies) {
		s.log.add(eventStop, p.name)
		if _, err := p.stop(s.options.grace + stopSlack); err != nil {
			s.recordViolation(ruleGracefulStop, "%s: %v", p.name, err)
		}
		p.program = to[p.kind]
		s.restart(p)
		s.awaitReady(p)
		time.Sleep(upgradePause)
	}
	s.logf("all daemons rolled %s", direction)
}

// awaitReady waits until a daemon is ready.
func (s *soak) awaitReady(p *process) {
	for started := time.Now(); time.Since(started) < upgradeReadyWait; time.Sleep(changeRetryInterval) {
		if status, _ := httpGet("http://" + p.http + "/ready"); status == http.StatusOK {
			return
		}
	}
	s.recordViolation(ruleRecoveryTime, "%s is not ready %v after its start with program %s", p.name, upgradeReadyWait, p.program)
}

// checkDamage checks that no control daemon reports stored or received data that it could not read.
func (s *soak) checkDamage(when string) {
	for _, p := range s.controls {
		status, body := httpGet("http://" + p.http + "/v1/status")
		var view struct {
			Damage []struct{ What, Why string } `json:"damage"`
		}
		if status != http.StatusOK || json.Unmarshal(body, &view) != nil {
			s.recordViolation(ruleTestEnvironment, "%s has no readable status, %s: HTTP status %d", p.name, when, status)
		}
		for _, d := range view.Damage {
			s.recordViolation(ruleNoDamage, "%s, %s: %s: %s", p.name, when, d.What, d.Why)
		}
	}
}

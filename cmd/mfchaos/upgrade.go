// This file is the upgrade: a fleet of earlier daemons is rolled to the present ones and back, one daemon at a time, under
// callers that keep their connections and an operator who changes the configuration without a pause. Then all daemons are
// killed at once and the present ones go on from what the earlier ones stored. Nothing acknowledged may be lost, and no
// daemon may report damage.

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
	upgradeReadyWait = 15 * time.Second // until a daemon that was started again is ready
	upgradeHold      = time.Second      // between two daemons, so that both versions work beside each other
)

// upgradeOptions are the flags of the upgrade.
type upgradeOptions struct {
	soak    soakOptions
	control string // program of the earlier control daemon
	proxy   string // program of the earlier proxy
}

func (o *upgradeOptions) bind(command *kingpin.CmdClause) {
	command.Flag("old-control", "program of the earlier control daemon").Required().ExistingFileVar(&o.control)
	command.Flag("old-proxy", "program of the earlier proxy").Required().ExistingFileVar(&o.proxy)
	command.Flag("seed", "seed of the operator and the callers").Default("1").Uint64Var(&o.soak.seed)
	command.Flag("grace", "how long after SIGTERM a process is ended by force").Default("3s").DurationVar(&o.soak.grace)
	command.Flag("proxies", "proxy daemons").Default("3").IntVar(&o.soak.proxies)
	command.Flag("cores", "control daemons").Default("3").IntVar(&o.soak.controls)
	command.Flag("targets", "back ends").Default("9").IntVar(&o.soak.targets)
	command.Flag("callers", "connections that callers keep").Default("40").IntVar(&o.soak.callers)
}

// programs are the paths of the daemons' programs by their present names.
type programs map[string]string

func (o *upgradeOptions) earlier() programs {
	return programs{controlProgram: o.control, proxyProgram: o.proxy}
}

func (f *fleet) present() programs {
	return programs{controlProgram: filepath.Join(f.bin, controlProgram), proxyProgram: filepath.Join(f.bin, proxyProgram)}
}

// runUpgrade rolls a fleet of earlier daemons, which is up, forward, back and forward again, and returns the exit code.
func (f *fleet) runUpgrade(opts *upgradeOptions) int {
	s := &soak{fleet: f, options: &opts.soak, startedAt: time.Now(), log: newEventLog()}
	f.logf("upgrade %d: %d cores, %d proxies, %d targets, %d callers", opts.soak.seed, len(f.controls), len(f.proxies), len(f.backends), opts.soak.callers)
	callers := s.startCallers()
	operator := s.startOperator()
	s.roll("forward", f.present())
	s.roll("back", opts.earlier())
	operator.finish()
	outcomes := callers.finish()
	s.checkDamage("rolled back")
	for _, p := range slices.Concat(s.controls, s.proxies) {
		p.program = f.present()[p.kind]
	}
	operator.checkAfterLoss()
	s.checkDamage("all daemons killed and started as present ones")
	return s.report(outcomes)
}

// roll stops one daemon after another and starts it with another program.
func (s *soak) roll(direction string, to programs) {
	for _, p := range slices.Concat(s.controls, s.proxies) {
		s.log.add(eventStop, p.name)
		if _, err := p.stop(s.options.grace + stopSlack); err != nil {
			s.violation("planned restart", "%s: %v", p.name, err)
		}
		p.program = to[p.kind]
		s.restart(p)
		s.awaitReady(p)
		time.Sleep(upgradeHold)
	}
	s.logf("rolled %s", direction)
}

// awaitReady waits until a daemon says that it is ready.
func (s *soak) awaitReady(p *process) {
	for begun := time.Now(); time.Since(begun) < upgradeReadyWait; time.Sleep(changeRetry) {
		if status, _ := get("http://" + p.http + "/ready"); status == http.StatusOK {
			return
		}
	}
	s.violation("back in 15 s", "%s is not ready %v after it was started as %s", p.name, upgradeReadyWait, p.program)
}

// checkDamage looks whether a control daemon says that something stored or received could not be read.
func (s *soak) checkDamage(when string) {
	for _, p := range s.controls {
		status, body := get("http://" + p.http + "/v1/status")
		var view struct {
			Damage []struct{ What, Why string } `json:"damage"`
		}
		if status != http.StatusOK || json.Unmarshal(body, &view) != nil {
			s.violation("lab", "%s tells no status, %s: %d", p.name, when, status)
		}
		for _, d := range view.Damage {
			s.violation("damage", "%s, %s: %s: %s", p.name, when, d.What, d.Why)
		}
	}
}

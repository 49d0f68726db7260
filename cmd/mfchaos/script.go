// This file injects random faults from a seed into a fleet under load.

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// loadArgs returns the arguments of mfload for a rate in requests per second and a duration.
func (f *fleet) loadArgs(rate float64, duration time.Duration) []string {
	mix := strings.Replace(f.deploymentName, "small", "kelani", 1)
	if f.deploymentName == "press" {
		mix = filepath.Join("sample", "press-mix.json")
	}
	args := []string{"--mix", mix, "--rate", fmt.Sprint(rate), "--for", duration.String(), "--ledgers", f.path("ledger"), "-o", "json"}
	for _, proxy := range f.proxies {
		args = append(args, "--gate", proxy.listen+"="+proxy.http)
	}
	return args
}

// runScript injects faults into the fleet under load, checks the rules and returns the exit code.
func (f *fleet) runScript(opts *options) int {
	f.random = rand.New(rand.NewPCG(opts.seed, 2))
	f.logf("fleet %s serves: %d control daemons, %d proxies, %d targets", f.deploymentName, len(f.controls), len(f.proxies), len(f.backends))
	kinds := faults
	if len(opts.onlyFaults) > 0 {
		kinds = slices.DeleteFunc(slices.Clone(faults), func(known fault) bool { return !slices.Contains(opts.onlyFaults, known.name) })
	}
	if len(kinds) == 0 {
		fmt.Println("mfchaos: unknown fault; the faults are:")
		for _, fault := range faults {
			fmt.Println(" ", fault.name)
		}
		return 2
	}
	out, err := os.Create(f.path("load.json"))
	if err != nil {
		fmt.Println(err)
		return 1
	}
	load := exec.Command(filepath.Join(f.bin, "mfload"), f.loadArgs(opts.rate, opts.span)...)
	load.Stdout, load.Stderr = out, os.Stderr
	if err := load.Start(); err != nil {
		fmt.Println(err)
		return 1
	}
	end := time.Now().Add(opts.span - 6*time.Second)
	for time.Now().Before(end) {
		fault := kinds[f.random.IntN(len(kinds))]
		f.faults = append(f.faults, fault.name)
		fault.inject(f)
		time.Sleep(min(time.Duration(f.random.ExpFloat64()*float64(opts.meanGap)), 3*opts.meanGap, max(0, time.Until(end))))
	}
	load.Wait()
	out.Close()
	if err := f.awaitServing(15 * time.Second); err != nil {
		f.recordViolation(ruleRecoveryTime, "%v", err)
	}
	f.checkHistory()
	if opts.wipeAtEnd {
		f.loseAllState()
	}
	return f.printVerdict(opts.seed)
}

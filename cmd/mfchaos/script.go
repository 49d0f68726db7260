// This file plays a seeded script of faults under load.

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

func (f *fleet) loadArgs(rate float64, d time.Duration) []string {
	mix := strings.Replace(f.name, "small", "kelani", 1)
	if f.name == "press" {
		mix = filepath.Join("sample", "press-mix.json")
	}
	a := []string{"--mix", mix, "--rate", fmt.Sprint(rate), "--for", d.String(), "--ledgers", f.path("ledger"), "-o", "json"}
	for _, g := range f.proxies {
		a = append(a, "--gate", g.listen+"="+g.http)
	}
	return a
}

// runScript loads and breaks the fleet and returns the exit code.
func (f *fleet) runScript(seed uint64, dur time.Duration, rate float64, gap time.Duration, only []string, wipe bool) int {
	f.random = rand.New(rand.NewPCG(seed, 2))
	f.logf("fleet %s is up: %d cores, %d proxies, %d targets", f.name, len(f.controls), len(f.proxies), len(f.backends))
	kinds := faults
	if len(only) > 0 {
		kinds = slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !slices.Contains(only, f.name) })
	}
	if len(kinds) == 0 {
		fmt.Println("no such fault; there are:")
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
	load := exec.Command(filepath.Join(f.bin, "mfload"), f.loadArgs(rate, dur)...)
	load.Stdout, load.Stderr = out, os.Stderr
	if err := load.Start(); err != nil {
		fmt.Println(err)
		return 1
	}
	end := time.Now().Add(dur - 6*time.Second)
	for time.Now().Before(end) {
		fault := kinds[f.random.IntN(len(kinds))]
		f.faults = append(f.faults, fault.name)
		fault.inject(f)
		time.Sleep(min(time.Duration(f.random.ExpFloat64()*float64(gap)), 3*gap, max(0, time.Until(end))))
	}
	load.Wait()
	out.Close()
	if err := f.awaitServing(15 * time.Second); err != nil {
		f.violation("back in 15 s", "%v", err)
	}
	f.checkHistory()
	if wipe {
		f.loseEverything()
	}
	return f.verdict(seed)
}

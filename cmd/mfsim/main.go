// Command mfsim runs seeds through the simulator and reports each rule that
// broke, with a short trace and the command that replays it. The work is in packages simulator and modelcheck;
// here are the command line (options.go), each mode's runs (days.go, scenes.go, availability.go, check.go) and
// what is printed of them.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"myrtlefold/internal/verification/simulator"
)

func main() {
	debug.SetGCPercent(simulator.GCPercent)
	o := parse(os.Args[1:])
	switch {
	case o.check != nil:
		os.Exit(o.check.run())
	case o.listKinds:
		listFaults()
	case o.listRules && o.digest:
		os.Exit(runAllScenes(o))
	case o.listRules:
		listScenes()
	case o.rule != "":
		os.Exit(runScene(findScene(o.rule), o))
	case o.availability:
		os.Exit(measureAvailability(o))
	default:
		os.Exit(runDays(o))
	}
}

// listFaults prints the kinds of faults.
func listFaults() {
	for _, f := range simulator.Faults {
		fmt.Println(f.Name)
	}
}

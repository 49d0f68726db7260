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
	chosen := parse(os.Args[1:])
	switch {
	case chosen.check != nil:
		os.Exit(chosen.check.run())
	case chosen.listKinds:
		listFaults()
	case chosen.listRules && chosen.digest:
		os.Exit(runAllScenes(chosen))
	case chosen.listRules:
		listScenes()
	case chosen.rule != "":
		os.Exit(runScene(findScene(chosen.rule), chosen))
	case chosen.availability:
		os.Exit(measureAvailability(chosen))
	default:
		os.Exit(runDays(chosen))
	}
}

// listFaults prints the kinds of faults.
func listFaults() {
	for _, f := range simulator.Faults {
		fmt.Println(f.Name)
	}
}

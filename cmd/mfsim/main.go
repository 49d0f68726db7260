// Command mfsim runs a simulated fleet from seeds and reports each rule that was violated, with a short trace and the command
// that replays the run. The simulation is in packages simulator and modelcheck. This package has the command line
// (options.go), the modes (days.go, scenes.go, availability.go, check.go) and their output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"myrtlefold/internal/verification/simulator"
)

func main() {
	debug.SetGCPercent(simulator.GCPercent)
	opts := parseOptions(os.Args[1:])
	switch {
	case opts.check != nil:
		os.Exit(opts.check.run())
	case opts.listKinds:
		listFaults()
	case opts.listRules && opts.digest:
		os.Exit(runAllScenes(opts))
	case opts.listRules:
		listScenes()
	case opts.rule != "":
		os.Exit(runScene(findScene(opts.rule), opts))
	case opts.availability:
		os.Exit(measureAvailability(opts))
	default:
		os.Exit(runDays(opts))
	}
}

// listFaults prints the kinds of faults.
func listFaults() {
	for _, f := range simulator.Faults {
		fmt.Println(f.Name)
	}
}

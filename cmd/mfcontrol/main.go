// Command mfcontrol is the control daemon: it replicates the configuration, the proxy membership and the health of
// targets. Run it with --help for its settings; package daemon implements it.
package main

import (
	"os"

	"myrtlefold/internal/daemon"
)

func main() { os.Exit(daemon.RunControl(os.Args[1:], daemon.DefaultPlatform())) }

// Command mfcontrol is the control daemon: it keeps the configuration, the proxy membership and the health of targets.
// Its --help has the settings; package daemon runs it.
package main

import (
	"os"

	"myrtlefold/internal/daemon"
)

func main() { os.Exit(daemon.RunControl(os.Args[1:], daemon.DefaultPlatform())) }

// Command mfcontrol is described by its --help.
package main

import (
	"os"

	"myrtlefold/internal/daemon"
)

func main() { os.Exit(daemon.RunControl(os.Args[1:], daemon.DefaultPlatform())) }

// Command mfcontrol is described by its --help.
package main

import (
	"os"

	"myrtlefold/internal/daemon"
)

func main() { os.Exit(daemon.RunCore(os.Args[1:], daemon.Own())) }

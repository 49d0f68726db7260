// Command mfctl is described by its --help.
package main

import (
	"os"

	"myrtlefold/internal/daemon"
)

func main() { os.Exit(daemon.RunCtl(os.Args[1:])) }

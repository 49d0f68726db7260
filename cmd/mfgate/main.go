// Command mfgate is described by its --help.
package main

import (
	"os"

	"myrtlefold/host"
)

func main() { os.Exit(host.RunGate(os.Args[1:], host.Own())) }

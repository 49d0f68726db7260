// Command mfproxy is described by its --help.
package main

import (
	"os"

	"myrtlefold/internal/daemon"
)

func main() { os.Exit(daemon.RunProxy(os.Args[1:], daemon.DefaultPlatform())) }

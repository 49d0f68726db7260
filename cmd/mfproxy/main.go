// Command mfproxy is the proxy daemon: it forwards requests of callers to back ends. Run it with --help for its settings;
// package daemon implements it.
package main

import (
	"os"

	"myrtlefold/internal/daemon"
)

func main() { os.Exit(daemon.RunProxy(os.Args[1:], daemon.DefaultPlatform())) }

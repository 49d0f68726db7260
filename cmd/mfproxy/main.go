// Command mfproxy is the proxy daemon: it forwards callers' requests to back ends. Its --help has the settings; package
// daemon runs it.
package main

import (
	"os"

	"myrtlefold/internal/daemon"
)

func main() { os.Exit(daemon.RunProxy(os.Args[1:], daemon.DefaultPlatform())) }

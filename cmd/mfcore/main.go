// Command mfcore is described by its --help.
package main

import (
	"os"

	"myrtlefold/host"
)

func main() { os.Exit(host.RunCore(os.Args[1:], host.Own())) }

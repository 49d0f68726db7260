// Command mfctl is described by its --help.
package main

import (
	"os"

	"myrtlefold/internal/mfctl"
)

func main() { os.Exit(mfctl.Run(os.Args[1:])) }

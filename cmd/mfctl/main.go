// Command mfctl is the command-line client for operators. Run it with --help for its commands; package mfctl implements
// them.
package main

import (
	"os"

	"myrtlefold/internal/mfctl"
)

func main() { os.Exit(mfctl.Run(os.Args[1:])) }

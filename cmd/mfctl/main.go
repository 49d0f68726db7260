// Command mfctl is the operators' command. Its --help has the commands; package mfctl carries them out.
package main

import (
	"os"

	"myrtlefold/internal/mfctl"
)

func main() { os.Exit(mfctl.Run(os.Args[1:])) }

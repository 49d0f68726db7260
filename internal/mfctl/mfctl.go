// Package mfctl implements the command-line client for operators. It sends a request to any member of the control plane
// and retries it at the next one where that is safe. Each change carries an id, so that a retry can't apply it twice,
// and the exit code tells how the request ended. The control plane validates and applies all changes; 'config
// check', 'policy compare', 'policy judge' and 'routes --config' work offline.
//
// Start reading at Run, then commands.go, which lists the commands and their arguments. client.go contains the HTTP
// client and output.go the output that all commands share. Each group of commands has its own file.
package mfctl

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/internal/shared/version"
)

// Exit codes of mfctl.
const (
	exitOK       = iota
	exitFailed   // rejected or failed
	exitUsage    // invalid command line
	exitStale    // based on a stale revision, nothing changed
	exitInvalid  // rejected as invalid, nothing changed
	exitNoLeader // no leader or no response, nothing changed
	exitUnknown  // unknown whether the change was applied
)

// cli holds the flags that all commands share. Its methods that run a command return the exit code.
type cli struct {
	members    []string      // HTTP addresses of control daemons
	json       bool          // print JSON
	wait       time.Duration // how long requests are retried while there is no leader
	routesFile string        // file that the commands on routes read, empty to request the configuration from a member
}

// Run is the entry point of mfctl: it parses the command line, runs the command and returns the exit code.
func Run(args []string) int {
	app := kingpin.New("mfctl", `Command-line client for operators of a myrtlefold fleet.

Exit codes: 0 success; 1 rejected or failed; 2 usage error; 3 stale base
revision, nothing changed; 4 invalid, nothing changed; 5 no leader or no
response, nothing changed; 6 outcome unknown: query it with 'mfctl change ID'.`)
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	c := &cli{}
	app.Flag("at", "HTTP address of a control plane member (repeatable; default: MFCTL_AT, separated by commas)").StringsVar(&c.members)
	output := app.Flag("output", "output format: text or json").Short('o').Default("text").Enum("text", "json")
	app.Flag("wait", "how long to retry while there is no leader").Default("8s").DurationVar(&c.wait)
	handlers, offline := c.define(app)

	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "mfctl: %v, see --help\n", err)
		return exitUsage
	}
	c.json = *output == "json"
	if members := os.Getenv("MFCTL_AT"); len(c.members) == 0 && members != "" {
		c.members = strings.Split(members, ",")
	}
	if len(c.members) == 0 && !offline[name] && c.routesFile == "" {
		fmt.Fprintln(os.Stderr, "mfctl: no member address: use --at IP:port or set MFCTL_AT")
		return exitUsage
	}
	return handlers[name]()
}

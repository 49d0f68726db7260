// Package mfctl is the operators' command. It asks any member of the control plane, goes on to the next one where that
// is safe, gives its changes an id so that a retry can't apply one twice, and says by its exit code how a call ended.
// It decides nothing: the control plane checks and applies what it is asked for.
//
// Begin with Run, then commands.go, the table of commands and their arguments. client.go has the calls, output.go what
// all commands print; each group of commands has a file of its own.
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
	exitUsage    // the command line is wrong
	exitStale    // built on a stale revision
	exitInvalid  // rejected as invalid, nothing changed
	exitNoLeader // nobody could answer, nothing changed
	exitUnknown  // it may have happened or not
)

// cli is one run of mfctl, with the flags that all commands have. Its methods that carry out a command return the exit
// code.
type cli struct {
	members    []string      // HTTP addresses of control daemons
	json       bool          // print JSON
	wait       time.Duration // how long to retry while there is no leader
	routesFile string        // the commands on routes read this file, "": they ask a member
}

// Run is mfctl: it parses the command line, runs the command and returns the exit code.
func Run(args []string) int {
	app := kingpin.New("mfctl", `Operators' command for a myrtlefold core.

Exit codes: 0 done; 1 refused or failed; 2 usage; 3 built on a stale revision;
4 invalid, nothing changed; 5 no leader or nobody answers, nothing changed;
6 unknown: ask with 'mfctl change ID'.`)
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	c := &cli{}
	app.Flag("at", "HTTP address of a core member (repeat); also MFCTL_AT, split by commas").StringsVar(&c.members)
	output := app.Flag("output", "text or json").Short('o').Default("text").Enum("text", "json")
	app.Flag("wait", "how long to go on while there is no leader").Default("8s").DurationVar(&c.wait)
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
		fmt.Fprintln(os.Stderr, "mfctl: no member is named: --at IP:port or MFCTL_AT")
		return exitUsage
	}
	return handlers[name]()
}

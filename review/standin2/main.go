// Command standin2 plays the cases of the second review: a small deployment of real daemons on loopback addresses, with
// stand-ins for clients, targets and the platform. It is run by review/N/run.sh with the case's name and the path of its
// record, from the root of the repository. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet, log *record, trouble bool) (broken bool, err error){
	"early":  playEarly,
	"leave":  playLeave,
	"unread": playUnread,
	"pause":  playPause,
}

func main() { os.Exit(run()) }

// run plays the case that the command line names.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standin2: CASE RECORD")
		return exitFailed
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	log := &record{file: file, start: time.Now()}
	f, err := newFleet()
	if err != nil {
		log.printf("could not run: %v", err)
		return exitFailed
	}
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		log.printf("could not run: %v", err)
		return exitFailed
	}
	broken, err := cases[os.Args[1]](f, log, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.printf("could not run: %v", err)
		return exitFailed
	case broken:
		log.printf("result: the rule was broken")
		return exitBroken
	}
	log.printf("result: the rule held")
	return exitHeld
}

// Package mfctl is the operators' command: it asks any core member, tries the next one where that is
// safe, names its changes itself so that asking again can't apply one twice, and says by its exit
// code how a call ended. It decides nothing; mfctl.go has the calls and exit codes, commands.go the
// commands and their arguments, and a file for each group of commands what it prints.
package mfctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/changeid"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/version"
)

// Exit codes of mfctl.
const (
	exitOK       = iota
	exitFailed   // refused or failed
	exitUsage    // the command line is wrong
	exitStale    // built on a stale revision
	exitInvalid  // refused as invalid, nothing changed
	exitNoLeader // nobody could answer, nothing changed
	exitUnknown  // it may have happened or not
)

// ctl is one run of mfctl, with the flags that all commands have.
type ctl struct {
	at         []string
	json       bool
	wait       time.Duration
	routesFile string // the commands on routes read this file, "": they ask a member
}

// Run is mfctl: it parses the command line, runs the command and returns the exit code.
func Run(args []string) int {
	app := kingpin.New("mfctl", `Operators' command for a myrtlefold core.

Exit codes: 0 done; 1 refused or failed; 2 usage; 3 built on a stale revision;
4 invalid, nothing changed; 5 no leader or nobody answers, nothing changed;
6 unknown: ask with 'mfctl change ID'.`)
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	c := &ctl{}
	app.Flag("at", "HTTP address of a core member (repeat); also MFCTL_AT, split by commas").StringsVar(&c.at)
	out := app.Flag("output", "text or json").Short('o').Default("text").Enum("text", "json")
	app.Flag("wait", "how long to go on while there is no leader").Default("8s").DurationVar(&c.wait)
	handlers, offline := c.define(app)

	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "mfctl: %v, see --help\n", err)
		return exitUsage
	}
	c.json = *out == "json"
	if v := os.Getenv("MFCTL_AT"); len(c.at) == 0 && v != "" {
		c.at = strings.Split(v, ",")
	}
	if len(c.at) == 0 && !offline[name] && c.routesFile == "" {
		fmt.Fprintln(os.Stderr, "mfctl: no member is named: --at IP:port or MFCTL_AT")
		return exitUsage
	}
	return handlers[name]()
}

var ctlClient = &http.Client{Timeout: tuning.CtlCall}

// call asks one member after another until one answers with more than 'no leader', and gives
// the last answer that it got, or an error if it got none. Going on is safe: a change carries
// its id, and 503 means that it was not applied. That does not speak for another member
// whose answer was lost: then the end is unknown.
func (c *ctl) call(method, path string, q url.Values, body []byte) (status int, out []byte, err error) {
	end := time.Now().Add(c.wait)
	lost := false
	for i := 0; ; i++ {
		u := "http://" + c.at[i%len(c.at)] + path
		if len(q) > 0 {
			u += "?" + q.Encode()
		}
		s, b, failed := callOnce(method, u, body)
		if failed == nil {
			status, out, err = s, b, nil
		} else if status == 0 {
			err = failed
		}
		lost = lost || failed != nil && method != http.MethodGet && !neverConnected(failed)
		switch {
		case failed == nil && s != http.StatusServiceUnavailable:
			return status, out, err
		case time.Now().After(end) && lost:
			return http.StatusGatewayTimeout, lostAnswer(q.Get("id")), nil
		case time.Now().After(end):
			return status, out, err
		}
		time.Sleep(tuning.CtlRetry)
	}
}

// neverConnected says that a call failed before anything of it was sent.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// lostAnswer is the end of a change that may have been taken by a member that did not answer.
func lostAnswer(id string) []byte {
	return config.ErrorBody{Code: "unknown", Rejection: config.RejectedUndecided, Ran: "unknown", ID: id,
		Message: "a member's answer was lost; the change may have been agreed: ask for it by its id"}.JSON()
}

// callOnce makes one call and reads the whole answer.
func callOnce(method, u string, body []byte) (status int, out []byte, err error) {
	req, err := http.NewRequest(method, u, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := ctlClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	out, err = io.ReadAll(resp.Body)
	return resp.StatusCode, out, err
}

// end prints a member's answer, by text if people read it, and returns the exit code.
func (c *ctl) end(status int, out []byte, err error, text func([]byte)) int {
	if err != nil {
		fmt.Fprintf(os.Stderr, "mfctl: %v\n", err)
		return exitNoLeader
	}
	switch done := status == http.StatusOK || status == http.StatusAccepted; {
	case c.json || done && text == nil:
		c.print(out)
	case done:
		text(out)
	default:
		printTrouble(out)
	}
	return exitCode(status)
}

// printTrouble prints an error answer for people.
func printTrouble(out []byte) {
	var e struct{ Error config.ErrorBody }
	json.Unmarshal(out, &e)
	fmt.Fprintf(os.Stderr, "mfctl: %s: %s\n", refusalText(e.Error), e.Error.Message)
	for _, f := range e.Error.Faults {
		fmt.Fprintf(os.Stderr, "  %s: %s\n", f.Path, f.Text)
	}
	if e.Error.ID != "" {
		fmt.Fprintf(os.Stderr, "  id %s\n", e.Error.ID)
	}
}

// exitCode says how a call with that HTTP status ended.
func exitCode(status int) int {
	switch status {
	case http.StatusOK, http.StatusAccepted:
		return exitOK
	case http.StatusPreconditionFailed:
		return exitStale
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return exitInvalid
	case http.StatusServiceUnavailable:
		return exitNoLeader
	case http.StatusGatewayTimeout:
		return exitUnknown
	}
	return exitFailed
}

// refusalText is a refusal's kind and code for a reader: "cannot tell now (no_leader)".
func refusalText(t config.ErrorBody) string {
	kind := map[config.Rejection]string{
		config.RejectedVersion:   "another version",
		config.RejectedInvalid:   "invalid",
		config.RejectedUndecided: "cannot tell now",
		config.RejectedConflict:  "conflict",
		config.RejectedNotFound:  "not found",
	}[t.Rejection]
	if kind == "" {
		return t.Code
	}
	return fmt.Sprintf("%s (%s)", kind, t.Code)
}

// print prints an answer as it is, or indented where people read it.
func (c *ctl) print(out []byte) {
	var b bytes.Buffer
	if c.json || json.Indent(&b, out, "", "  ") != nil {
		os.Stdout.Write(out)
		return
	}
	fmt.Println(strings.TrimSpace(b.String()))
}

// newTable aligns the columns, separated by tabs, of what is written to it; Flush prints them.
func newTable() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0) }

// show prints what a member answers to a GET.
func (c *ctl) show(path string, text func([]byte)) int {
	status, out, err := c.call(http.MethodGet, path, nil, nil)
	return c.end(status, out, err, text)
}

// changeDone is the answer to a change that is in force.
type changeDone struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

// change makes a change under an id of its own, so that it is made once however often it is sent.
func (c *ctl) change(method, path string, q url.Values, body []byte) int {
	q.Set("id", changeid.New())
	status, out, err := c.call(method, path, q, body)
	return c.end(status, out, err, func(b []byte) {
		var done changeDone
		json.Unmarshal(b, &done)
		fmt.Printf("in force; configuration revision %d; change %s\n", done.Revision, done.ID)
	})
}

// namedKinds are the parts of a configuration that hold items by name.
var namedKinds = []string{"services", "routes", "policies", "aims"}

// This file is what all commands print, and the exit codes of calls.

package mfctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"myrtlefold/internal/shared/config"
)

// finish prints a member's response, by text if people read it, and returns the exit code.
func (c *cli) finish(got response, err error, text func(body []byte)) int {
	switch {
	case err != nil:
		return fail(err, exitNoLeader)
	case c.json || got.done() && text == nil:
		c.printBody(got.body)
	case got.done():
		text(got.body)
	default:
		printError(got.body)
	}
	return exitCode(got.status)
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

// fail prints an error and returns the exit code.
func fail(err error, code int) int {
	fmt.Fprintf(os.Stderr, "mfctl: %v\n", err)
	return code
}

// printError prints the body of a rejected call for people.
func printError(body []byte) {
	var rejected struct{ Error config.ErrorBody }
	json.Unmarshal(body, &rejected) // of another form it prints as an error without a text
	fmt.Fprintf(os.Stderr, "mfctl: %s: %s\n", rejectionText(rejected.Error), rejected.Error.Message)
	printFaults(rejected.Error.Faults)
	if rejected.Error.ID != "" {
		fmt.Fprintf(os.Stderr, "  id %s\n", rejected.Error.ID)
	}
}

// printFaults prints the faults of a document for people.
func printFaults(faults []config.Fault) {
	for _, fault := range faults {
		fmt.Fprintf(os.Stderr, "  %s: %s\n", fault.Path, fault.Text)
	}
}

// rejectionTexts are the kinds of rejections as people read them.
var rejectionTexts = map[config.Rejection]string{
	config.RejectedVersion:   "another version",
	config.RejectedInvalid:   "invalid",
	config.RejectedUndecided: "cannot tell now",
	config.RejectedConflict:  "conflict",
	config.RejectedNotFound:  "not found",
}

// rejectionText is a rejection's kind and code for people: "cannot tell now (no_leader)".
func rejectionText(rejected config.ErrorBody) string {
	kind, known := rejectionTexts[rejected.Rejection]
	if !known {
		return rejected.Code
	}
	return fmt.Sprintf("%s (%s)", kind, rejected.Code)
}

// printBody prints a response as it is, or indented where people read it.
func (c *cli) printBody(body []byte) {
	var indented bytes.Buffer
	if c.json || json.Indent(&indented, body, "", "  ") != nil {
		os.Stdout.Write(body)
		return
	}
	fmt.Println(strings.TrimSpace(indented.String()))
}

// printJSON prints a value as a line of JSON.
func printJSON(value any) { json.NewEncoder(os.Stdout).Encode(value) }

// newTable aligns the columns, separated by tabs, of what is written to it; Flush prints them.
func newTable() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0) }

// seconds is a time for people, to a tenth of a second.
func seconds(milliseconds int64) time.Duration {
	return (time.Duration(milliseconds) * time.Millisecond).Round(100 * time.Millisecond)
}

// orDash is a cell of a table: the text, or a dash if there is none.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// yesOrDash is a cell of a table that says whether something holds.
func yesOrDash(yes bool) string {
	if yes {
		return "yes"
	}
	return "-"
}

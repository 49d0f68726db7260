// Output functions that the commands share, and the mapping of HTTP statuses to exit codes.

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

// printResult prints the result of a call and returns the exit code. printText prints the body of a successful response
// as text; if it is nil or the output is JSON, the body is printed as JSON.
func (c *cli) printResult(got response, err error, printText func(body []byte)) int {
	switch {
	case err != nil:
		return fail(err, exitNoLeader)
	case c.json || got.succeeded() && printText == nil:
		c.printBody(got.body)
	case got.succeeded():
		printText(got.body)
	default:
		printError(got.body)
	}
	return exitCode(got.status)
}

// exitCode returns the exit code for an HTTP status.
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

// printError prints the response body of a rejected call as text.
func printError(body []byte) {
	var rejected struct{ Error config.ErrorBody }
	json.Unmarshal(body, &rejected) // a body that can't be decoded prints as an error without a message
	fmt.Fprintf(os.Stderr, "mfctl: %s: %s\n", rejectionText(rejected.Error), rejected.Error.Message)
	printFaults(rejected.Error.Faults)
	if rejected.Error.ID != "" {
		fmt.Fprintf(os.Stderr, "  id %s\n", rejected.Error.ID)
	}
}

// printFaults prints the faults of a document as text.
func printFaults(faults []config.Fault) {
	for _, fault := range faults {
		fmt.Fprintf(os.Stderr, "  %s: %s\n", fault.Path, fault.Text)
	}
}

// rejectionTexts describe the kinds of rejections in text output.
var rejectionTexts = map[config.Rejection]string{
	config.RejectedVersion:   "stale version",
	config.RejectedInvalid:   "invalid",
	config.RejectedUndecided: "no definite answer",
	config.RejectedConflict:  "conflict",
	config.RejectedNotFound:  "not found",
}

// rejectionText returns the kind and code of a rejection, such as "no definite answer (no_leader)".
func rejectionText(rejected config.ErrorBody) string {
	kind, known := rejectionTexts[rejected.Rejection]
	if !known {
		return rejected.Code
	}
	return fmt.Sprintf("%s (%s)", kind, rejected.Code)
}

// printBody prints a response body: unchanged if the output is JSON, and indented if it is text.
func (c *cli) printBody(body []byte) {
	var indented bytes.Buffer
	if c.json || json.Indent(&indented, body, "", "  ") != nil {
		os.Stdout.Write(body)
		return
	}
	fmt.Println(strings.TrimSpace(indented.String()))
}

// printJSON prints a value as one line of JSON.
func printJSON(value any) { json.NewEncoder(os.Stdout).Encode(value) }

// newTable returns a writer that aligns tab-separated columns. Flush prints the table.
func newTable() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0) }

// seconds converts milliseconds to a duration rounded to 0.1 s.
func seconds(milliseconds int64) time.Duration {
	return (time.Duration(milliseconds) * time.Millisecond).Round(100 * time.Millisecond)
}

// orDash returns the text of a table cell, a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// yesOrDash returns the text of a boolean table cell.
func yesOrDash(yes bool) string {
	if yes {
		return "yes"
	}
	return "-"
}

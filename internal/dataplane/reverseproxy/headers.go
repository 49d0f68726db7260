// This file has the names of the headers that are spoken with callers and targets, and the rules on headers and
// paths.

package reverseproxy

import (
	"net/http"
	"net/textproto"
	"net/url"
	"path"
	"slices"
	"strconv"
	"strings"

	"myrtlefold/internal/shared/statemachine"
)

// Default names of headers that callers read.
const (
	// DeadlineHeader is the default of Headers.Deadline.
	DeadlineHeader = "Myrtlefold-Deadline-Ms"
	// RanHeader is the default of Headers.Ran.
	RanHeader = "Myrtlefold-Ran"
)

// Headers are the names of the headers that are spoken with callers and targets. DefaultHeaders has the defaults.
type Headers struct {
	// Deadline is, of a request, how many milliseconds its caller still gives. The target gets what is left of it.
	Deadline string
	// Ran says, of an error, whether the request ran at a target: "no" or "unknown".
	Ran string
	// Attempt is the request's id, which the response repeats. A response with another id is not passed on.
	Attempt string
	// ExpectTarget is the name of the target that a request is meant for; any other one answers 421 and does not
	// run it. It is sent to targets with a health check.
	ExpectTarget string
	// NotRun marks a target's response as a rejection of a request that it did not run, whatever its value.
	NotRun string
	// Load is a target's load with a response: "running,waiting,slots", in requests.
	Load string
	// Identity is the name of the target that answers a health check.
	Identity string
	// WarmupLeft says, in a response to a health check, for how many milliseconds the target is still warming up.
	WarmupLeft string
	// Proof is a header that each success of a target has, whatever its value. "": there is none.
	Proof string
}

// DefaultHeaders returns the product's own names. Its targets send no proof.
func DefaultHeaders() Headers {
	return Headers{
		Deadline:     DeadlineHeader,
		Ran:          RanHeader,
		Attempt:      "Myrtlefold-Attempt",
		ExpectTarget: "Myrtlefold-Expect",
		NotRun:       "Myrtlefold-Not-Run",
		Load:         "Myrtlefold-Load",
		Identity:     "Myrtlefold-Identity",
		WarmupLeft:   "Myrtlefold-Cold-Ms",
	}
}

// ParseLoad returns the load that a Headers.Load header states, or nil if it is not three numbers from 0 up.
func ParseLoad(value string) *statemachine.TargetLoad {
	running, rest, _ := strings.Cut(value, ",")
	waiting, slots, _ := strings.Cut(rest, ",")
	var numbers [3]int
	for i, field := range []string{running, waiting, slots} {
		var err error
		if numbers[i], err = strconv.Atoi(strings.TrimSpace(field)); err != nil || numbers[i] < 0 {
			return nil
		}
	}
	return &statemachine.TargetLoad{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
}

// hopByHopHeaders concern one connection only (RFC 9110, section 7.6.1, and some that are not named there).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHopHeaders removes the headers that concern one connection only, those that Connection names among
// them.
func removeHopByHopHeaders(header http.Header) {
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			if name = textproto.TrimString(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// isHopByHop reports whether a header concerns one connection only. connection has the request's Connection
// headers.
func isHopByHop(connection []string, name string) bool {
	if slices.Contains(hopByHopHeaders, name) {
		return true
	}
	for _, value := range connection {
		for named := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(textproto.TrimString(named), name) {
				return true
			}
		}
	}
	return false
}

// headerSize returns a header's size in bytes, as HTTP/1.1 writes it.
func headerSize(header http.Header) (size int) {
	const separators = len(": \r\n")
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// appendHeader appends a header line to out.
func appendHeader(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

// isUnambiguousPath reports whether a URL's path can be read in one way only, so that a rule and a target read it
// alike.
func isUnambiguousPath(address *url.URL) bool {
	decoded := address.Path
	if !strings.HasPrefix(decoded, "/") || strings.Contains(decoded, "//") || strings.ContainsAny(decoded, "\x00\\") {
		return false
	}
	escaped := strings.ToLower(address.EscapedPath())
	if strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%5c") {
		return false
	}
	clean := path.Clean(decoded)
	return clean == decoded || clean+"/" == decoded
}

// This file defines the names of the headers exchanged with callers and targets, and the rules for headers and paths.

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

// Default names of the headers exchanged with callers.
const (
	// DeadlineHeader is the default of Headers.Deadline.
	DeadlineHeader = "Myrtlefold-Deadline-Ms"
	// RanHeader is the default of Headers.Ran.
	RanHeader = "Myrtlefold-Ran"
)

// Headers holds the names of the headers exchanged with callers and targets. DefaultHeaders returns the defaults.
type Headers struct {
	// Deadline is a request header: the time left for the request, in milliseconds. The proxy sends the target the
	// time that is left when it forwards the request.
	Deadline string
	// Ran is a header of the proxy's errors: whether the request ran at a target, "no" or "unknown".
	Ran string
	// Attempt is a request header: the request's id, which the response must repeat. A response with another id is
	// not passed on.
	Attempt string
	// ExpectTarget is a request header for targets with a health check: the name of the intended target. Any other
	// target responds with 421 and does not run the request.
	ExpectTarget string
	// NotRun is a response header of targets. Any value marks the response as a rejection of a request that the
	// target did not run.
	NotRun string
	// Load is a response header of targets: the target's load as "running,waiting,slots", in requests.
	Load string
	// Identity is a header of responses to health checks: the target's name.
	Identity string
	// WarmupLeft is a header of responses to health checks: how long the target is still warming up, in milliseconds.
	WarmupLeft string
	// Proof is a header that must be present, with any value, in each successful response of a target. "" turns the
	// check off.
	Proof string
}

// DefaultHeaders returns the product's own header names. The check of the Proof header is off.
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

// ParseLoad parses the value of a Headers.Load header. It returns nil unless the value is three integers of at least 0.
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

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, section 7.6.1, and some that are not
// listed there).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHopHeaders removes the hop-by-hop headers, including those that the Connection header names.
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

// isHopByHop reports whether a header is hop-by-hop. connection holds the values of the request's Connection headers.
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

// headerSize returns the size of a header in bytes in HTTP/1.1 format.
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

// isUnambiguousPath reports whether a URL's path has only one interpretation, so that routing rules and targets cannot
// interpret it differently.
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

// This file serializes requests to targets.

package reverseproxy

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// appendRequest appends the request's header and the buffered part of its body to out.
func (a *attempt) appendRequest(out []byte) []byte {
	out = a.appendRequestLine(out)
	out = a.appendCallerHeaders(out)
	out = a.appendProxyHeaders(out)
	return a.request.body.appendTo(out, a.request.incoming.Method)
}

// appendRequestLine appends the request line and the Host header as the caller sent them. A URI in absolute form is
// reduced to its path and query.
func (a *attempt) appendRequestLine(out []byte) []byte {
	incoming := a.request.incoming
	uri := incoming.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = incoming.URL.RequestURI()
	}
	out = append(out, incoming.Method...)
	out = append(out, ' ')
	out = append(out, uri...)
	out = append(out, " HTTP/1.1\r\nHost: "...)
	out = append(out, incoming.Host...)
	return append(out, "\r\n"...)
}

// appendCallerHeaders appends the caller's headers except hop-by-hop headers and those that the proxy sets itself.
func (a *attempt) appendCallerHeaders(out []byte) []byte {
	header := a.request.incoming.Header
	connection := header["Connection"]
	forwardedFor := a.sendsForwardedFor()
	for name, values := range header {
		if a.isProxyHeader(name) || isHopByHop(connection, name) || forwardedFor && name == "X-Forwarded-For" {
			continue
		}
		for _, value := range values {
			out = appendHeader(out, name, value)
		}
	}
	if slices.Contains(header["Te"], "trailers") {
		out = appendHeader(out, "Te", "trailers")
	}
	return out
}

// isProxyHeader reports whether a header is one that the proxy sets itself and never passes on from the caller.
func (a *attempt) isProxyHeader(name string) bool {
	headers := &a.request.forwarder.Headers
	return name == "Content-Length" || name == "Host" ||
		strings.EqualFold(name, headers.Deadline) || strings.EqualFold(name, headers.ExpectTarget)
}

// sendsForwardedFor reports whether the target is sent the caller's address in X-Forwarded-For.
func (a *attempt) sendsForwardedFor() bool {
	return a.request.forwarder.SendForwardedFor && !a.target.ServiceConfig.HasHealthCheck()
}

// appendProxyHeaders appends the headers that the proxy sets itself, except those that frame the body.
func (a *attempt) appendProxyHeaders(out []byte) []byte {
	incoming, headers := a.request.incoming, &a.request.forwarder.Headers
	if a.sendsForwardedFor() {
		if ip, _, err := net.SplitHostPort(incoming.RemoteAddr); err == nil {
			addresses := append(slices.Clone(incoming.Header["X-Forwarded-For"]), ip)
			out = appendHeader(out, "X-Forwarded-For", strings.Join(addresses, ", "))
		}
	}
	if a.target.ServiceConfig.HasHealthCheck() {
		out = appendHeader(out, headers.ExpectTarget, a.target.Target.Name)
	}
	out = append(out, headers.Deadline...)
	out = append(out, ": "...)
	out = strconv.AppendInt(out, a.millisecondsLeft(), 10)
	return append(out, "\r\n"...)
}

// millisecondsLeft returns how long the target may work on the request, at least 1. It leaves time for the response to
// travel over the network.
func (a *attempt) millisecondsLeft() int64 {
	workBy := a.deadline
	if a.target.WorkTime > 0 {
		workBy = earlier(workBy, a.start.Add(a.target.WorkTime))
	}
	return max(1, (time.Until(workBy) - tuning.NetHop).Milliseconds())
}

// appendTo appends the headers that frame the body, the empty line that ends the header, and the buffered part of the
// body.
func (b *requestBody) appendTo(out []byte, method string) []byte {
	switch {
	case b.size > 0 || b.size == 0 && sendsZeroLength(method):
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, b.size, 10)
		out = append(out, "\r\n\r\n"...)
		return append(out, b.buffered...)
	case b.size == 0:
		return append(out, "\r\n"...)
	}
	for name := range b.trailer {
		out = appendHeader(out, "Trailer", name)
	}
	out = append(out, "Transfer-Encoding: chunked\r\n\r\n"...)
	out = appendChunk(out, b.buffered)
	if b.rest == nil {
		out = b.appendLastChunk(out)
	}
	return out
}

// sendsZeroLength reports whether a request with the given method and an empty body has the header "Content-Length: 0".
func sendsZeroLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

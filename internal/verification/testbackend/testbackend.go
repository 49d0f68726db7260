// Package testbackend defines the protocol between a test back end (cmd/mfbackend) and its callers: the headers that
// control how a request is run, and the response body, which lets a caller verify that it got the response to its own
// request.
package testbackend

import (
	"crypto/sha256"
	"encoding/hex"
)

// Request headers.
const (
	RequestIDHeader       = "Exchange-Id"      // id chosen by the caller; repeated in the response and the request log
	IntendedServiceHeader = "Exchange-Service" // service that the caller intends to reach
	ProcessingTimeHeader  = "Stub-Work-Ms"     // processing time of the request, in ms
	PaddingHeader         = "Stub-Size"        // size of the padding in the response, in bytes
)

// FaultPath is the path of a POST request that injects the fault named by the query parameter FaultParameter until the
// next such request.
const (
	FaultPath      = "/.stub/mode"
	FaultParameter = "set"
)

// Response is the body of the response to a request that ran.
type Response struct {
	ID          string `json:"id"`          // RequestIDHeader of the request
	Incarnation uint64 `json:"incarnation"` // incarnation of the back end
	Name        string `json:"name"`        // name of the back end
	Padding     string `json:"pad"`         // as many bytes as PaddingHeader requested
	Service     string `json:"service"`     // service of the back end
	Sum         string `json:"sum"`         // Sum of the request body
}

// Sum returns the checksum of a request body: its SHA-256 in hexadecimal.
func Sum(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

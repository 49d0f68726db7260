// Package testbackend is what a test back end (cmd/mfbackend) and those who call it have in common: the headers by
// which a caller says what it wants of a request, and the body of the response by which it recognizes its own.
package testbackend

import (
	"crypto/sha256"
	"encoding/hex"
)

// Headers of requests.
const (
	RequestIDHeader       = "Exchange-Id"      // the caller's id, which the response and the request log repeat
	IntendedServiceHeader = "Exchange-Service" // the service that the caller means
	WorkHeader            = "Stub-Work-Ms"     // how long the request takes, in ms
	PaddingHeader         = "Stub-Size"        // bytes of padding in the response
)

// FaultPath takes a POST whose parameter FaultParameter says how the back end is to fail from now on.
const (
	FaultPath      = "/.stub/mode"
	FaultParameter = "set"
)

// Response is the body of a response to a request that ran.
type Response struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Name        string `json:"name"`
	Padding     string `json:"pad"`
	Service     string `json:"service"`
	Sum         string `json:"sum"` // of the request's body, by Sum
}

// Sum is a checksum of a request's body.
func Sum(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

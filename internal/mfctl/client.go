// This file is the calls of the HTTP API.

package mfctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/changeid"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

var httpClient = &http.Client{Timeout: tuning.CtlCall}

// request is a call of the HTTP API, whichever member it goes to.
type request struct {
	method, path string
	query        url.Values
	body         []byte
}

// url is the request's at one member.
func (r request) url(member string) string {
	if len(r.query) == 0 {
		return "http://" + member + r.path
	}
	return "http://" + member + r.path + "?" + r.query.Encode()
}

// response is what a member answers.
type response struct {
	status int // of HTTP; 0: there is none
	body   []byte
}

// done reports whether the member did what it was asked for.
func (r response) done() bool { return r.status == http.StatusOK || r.status == http.StatusAccepted }

// call asks one member after another until one answers with more than 'no leader', and returns the last response that
// it got, or an error if it got none. Going on is safe: a change carries its id, and 503 means that it was not applied.
// That does not speak for another member whose response was lost: then the end is unknown.
func (c *cli) call(r request) (last response, err error) {
	deadline := time.Now().Add(c.wait)
	lost := false
	for i := 0; ; i++ {
		got, failure := r.send(c.members[i%len(c.members)])
		if failure == nil {
			last, err = got, nil
		} else if last.status == 0 {
			err = failure
		}
		lost = lost || failure != nil && r.method != http.MethodGet && !neverConnected(failure)
		switch {
		case failure == nil && got.status != http.StatusServiceUnavailable:
			return last, err
		case time.Now().After(deadline) && lost:
			return lostResponse(r.query.Get("id")), nil
		case time.Now().After(deadline):
			return last, err
		}
		time.Sleep(tuning.CtlRetry)
	}
}

// send makes the call at one member and reads the complete response.
func (r request) send(member string) (response, error) {
	request, err := http.NewRequest(r.method, r.url(member), bytes.NewReader(r.body))
	if err != nil {
		return response{}, err
	}
	got, err := httpClient.Do(request)
	if err != nil {
		return response{}, err
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	return response{status: got.StatusCode, body: body}, err
}

// neverConnected reports whether a call failed before anything of it was sent.
func neverConnected(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// lostResponse is the end of a change that a member may have accepted whose response was lost.
func lostResponse(id string) response {
	return response{status: http.StatusGatewayTimeout, body: config.ErrorBody{
		Code:      "unknown",
		Rejection: config.RejectedUndecided,
		Ran:       config.RanUnknown,
		ID:        id,
		Message:   "a member's answer was lost; the change may have been agreed: ask for it by its id",
	}.JSON()}
}

// get reads what one daemon, which may be a proxy, answers to a GET.
func get(daemon, path string) ([]byte, error) {
	got, err := httpClient.Get("http://" + daemon + path)
	if err != nil {
		return nil, err
	}
	defer got.Body.Close()
	return io.ReadAll(got.Body)
}

// show prints what a member answers to a GET; text prints it for people, nil: as JSON.
func (c *cli) show(path string, text func(body []byte)) int {
	got, err := c.call(request{method: http.MethodGet, path: path})
	return c.finish(got, err, text)
}

// appliedChange is the body of the response to a change that is in force.
type appliedChange struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

// change makes a change under an id of its own, so that it is applied once however often it is sent.
func (c *cli) change(r request) int {
	r.query.Set("id", changeid.New())
	got, err := c.call(r)
	return c.finish(got, err, func(body []byte) {
		var change appliedChange
		json.Unmarshal(body, &change) // of another form it prints as no revision
		fmt.Printf("in force; configuration revision %d; change %s\n", change.Revision, change.ID)
	})
}

// Client of the HTTP API.

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

var httpClient = &http.Client{Timeout: tuning.CtlCallTimeout}

// request is a call of the HTTP API. It can be sent to any member.
type request struct {
	method, path string
	query        url.Values
	body         []byte
}

// url returns the URL of the request at one member.
func (r request) url(member string) string {
	if len(r.query) == 0 {
		return "http://" + member + r.path
	}
	return "http://" + member + r.path + "?" + r.query.Encode()
}

// response is the response of a member.
type response struct {
	status int // HTTP status, 0 if there was no response
	body   []byte
}

// succeeded reports whether the member carried out the request.
func (r response) succeeded() bool {
	return r.status == http.StatusOK || r.status == http.StatusAccepted
}

// call sends a request to one member after another until a response has another status than 503 or c.wait is over. It
// returns the last response, or an error if there was none. Retrying is safe because each change carries an id and 503
// means that the responding member did not apply it. If the response of another member was lost, however, that member
// may have applied the change, and the outcome is unknown.
func (c *cli) call(r request) (last response, err error) {
	deadline := time.Now().Add(c.wait)
	responseLost := false
	for i := 0; ; i++ {
		got, failure := r.send(c.members[i%len(c.members)])
		if failure == nil {
			last, err = got, nil
		} else if last.status == 0 {
			err = failure
		}
		responseLost = responseLost || failure != nil && r.method != http.MethodGet && !isDialError(failure)
		switch {
		case failure == nil && got.status != http.StatusServiceUnavailable:
			return last, err
		case time.Now().After(deadline) && responseLost:
			return unknownOutcome(r.query.Get("id")), nil
		case time.Now().After(deadline):
			return last, err
		}
		time.Sleep(tuning.CtlRetry)
	}
}

// send sends the request to one member and reads the complete response.
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

// isDialError reports whether a request failed before any of it was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// unknownOutcome returns the response that takes the place of a lost one: a member may have accepted the change.
func unknownOutcome(id string) response {
	return response{status: http.StatusGatewayTimeout, body: config.ErrorBody{
		Code:      "unknown",
		Rejection: config.RejectedUndecided,
		Ran:       config.RanUnknown,
		ID:        id,
		Message:   "the response of a member was lost, so the change may have been applied; look it up by its id",
	}.JSON()}
}

// get returns the response body of a GET request to one daemon, which may be a proxy.
func get(daemon, path string) ([]byte, error) {
	got, err := httpClient.Get("http://" + daemon + path)
	if err != nil {
		return nil, err
	}
	defer got.Body.Close()
	return io.ReadAll(got.Body)
}

// show prints the response of a member to a GET request. printText prints it as text; if nil, it is printed as JSON.
func (c *cli) show(path string, printText func(body []byte)) int {
	got, err := c.call(request{method: http.MethodGet, path: path})
	return c.printResult(got, err, printText)
}

// appliedChange is the response body of a change that was applied.
type appliedChange struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

// change sends a change with a new id, by which the control plane applies it only once even if it is sent repeatedly.
func (c *cli) change(r request) int {
	r.query.Set("id", changeid.New())
	got, err := c.call(r)
	return c.printResult(got, err, func(body []byte) {
		var change appliedChange
		json.Unmarshal(body, &change) // a body that can't be decoded leaves the revision 0
		fmt.Printf("in force; configuration revision %d; change %s\n", change.Revision, change.ID)
	})
}

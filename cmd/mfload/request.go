package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/verification/testbackend"
)

// ranStatus is the value of the header reverseproxy.RanHeader, which an error response of a proxy carries: whether the
// request ran at a target.
type ranStatus string

// The values of ranStatus.
const (
	ranUnset   ranStatus = ""        // not an error response of a proxy
	ranNo      ranStatus = "no"      // the request did not run
	ranUnknown ranStatus = "unknown" // the request may have run
)

// outcome is the result of one request.
type outcome struct {
	plannedRequest
	seconds    float64 // time from when the request was due until its outcome
	status     int     // HTTP status; 0: no response
	ran        ranStatus
	retryAfter string // value of the Retry-After header; "": none
	code       string // error code of an error response
	wrong      string // description of the error in the response; "": none
	mismatched bool   // the response belongs to another request
	err        string // why there is no complete response; "": there is one
}

// isProxyError reports whether the response is an error response of a proxy.
func (o *outcome) isProxyError() bool { return o.ran != ranUnset }

// send sends a request and checks its response.
func (g *generator) send(planned plannedRequest) outcome {
	o := outcome{plannedRequest: planned}
	body := bytes.Repeat([]byte{'a' + byte(planned.random%26)}, planned.kind.BodySize)
	request, err := g.newRequest(planned, body)
	if err != nil {
		o.err = err.Error()
	} else {
		o.receive(g.client, request, body)
	}
	o.seconds = time.Since(planned.due).Seconds()
	return o
}

func (g *generator) newRequest(planned plannedRequest, body []byte) (*http.Request, error) {
	var reader io.Reader
	if len(body) > 0 {
		reader = bytes.NewReader(body)
	}
	kind := planned.kind
	request, err := http.NewRequest(kind.Method, "http://"+g.proxies.pick(planned.random)+kind.Path, reader)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // prevents the standard client from resending the request
	request.Header.Set(testbackend.RequestIDHeader, planned.id)
	request.Header.Set(testbackend.IntendedServiceHeader, kind.Service)
	request.Header.Set(reverseproxy.DefaultHeaders().Attempt, planned.id) // the response must repeat it
	request.Header.Set(testbackend.PaddingHeader, strconv.Itoa(kind.ResponseSize))
	if g.processingMs >= 0 {
		request.Header.Set(testbackend.ProcessingTimeHeader, strconv.Itoa(g.processingMs))
	}
	return request, nil
}

// receive sends the request and reads and checks its response.
func (o *outcome) receive(client *http.Client, request *http.Request, body []byte) {
	response, err := client.Do(request)
	if err != nil {
		o.err = err.Error()
		return
	}
	defer response.Body.Close()
	o.status = response.StatusCode
	o.ran = ranStatus(response.Header.Get(reverseproxy.RanHeader))
	o.retryAfter = response.Header.Get("Retry-After")
	got, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		o.err = "read response body: " + err.Error()
	case o.isProxyError():
		o.checkError(got)
	case o.status < http.StatusInternalServerError:
		o.checkResponse(got, body)
	}
}

// checkError checks the body of an error response of a proxy.
func (o *outcome) checkError(got []byte) {
	var body struct{ Error config.ErrorBody }
	if json.Unmarshal(got, &body) != nil || string(body.Error.Ran) != string(o.ran) {
		o.wrong = fmt.Sprintf("malformed error response: %.80q", got)
	}
	o.code = body.Error.Code
}

// checkResponse checks the body of a back end's response to a request with the body requestBody.
func (o *outcome) checkResponse(got, requestBody []byte) {
	var response testbackend.Response
	switch {
	case json.Unmarshal(got, &response) != nil:
		o.wrong = fmt.Sprintf("not the response of a back end: %.80q", got)
	case response.ID != o.id:
		o.wrong, o.mismatched = "response to request "+response.ID, true
	case response.Service != o.kind.Service:
		o.wrong = "response from service " + response.Service
	case response.Sum != testbackend.Sum(requestBody):
		o.wrong = "the back end received a different request body"
	case len(response.Padding) != o.kind.ResponseSize:
		o.wrong = fmt.Sprintf("padding of %d bytes instead of %d", len(response.Padding), o.kind.ResponseSize)
	}
}

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

// ran says in an error whether the request ran, as the header Ran has it.
type ran string

// What an error says of its request; a response of a back end says nothing.
const (
	ranUnset   ran = ""
	ranNo      ran = "no"
	ranUnknown ran = "unknown"
)

// outcome is what became of one request.
type outcome struct {
	plannedRequest
	seconds    float64 // from when it was due
	status     int     // of HTTP; 0: there was no response
	ran        ran
	retryAfter string // the header
	code       string // of the error
	wrong      string // what is wrong with the response, "": nothing
	others     bool   // it is the response to another request
	err        string // why there is no response
}

// rejected reports whether the caller got a proxy's error.
func (o *outcome) rejected() bool { return o.ran != ranUnset }

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
	request.GetBody = nil // the standard client must not send anything again by itself
	request.Header.Set(testbackend.RequestIDHeader, planned.id)
	request.Header.Set(testbackend.IntendedServiceHeader, kind.Service)
	request.Header.Set(reverseproxy.DefaultHeaders().Attempt, planned.id) // its response must repeat it
	request.Header.Set(testbackend.PaddingHeader, strconv.Itoa(kind.ResponseSize))
	if g.workMs >= 0 {
		request.Header.Set(testbackend.WorkHeader, strconv.Itoa(g.workMs))
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
	o.ran = ran(response.Header.Get(reverseproxy.RanHeader))
	o.retryAfter = response.Header.Get("Retry-After")
	got, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		o.err = "cut: " + err.Error()
	case o.rejected():
		o.checkError(got)
	case o.status < http.StatusInternalServerError:
		o.checkResponse(got, body)
	}
}

// checkError checks the body of a proxy's error.
func (o *outcome) checkError(got []byte) {
	var body struct{ Error config.ErrorBody }
	if json.Unmarshal(got, &body) != nil || string(body.Error.Ran) != string(o.ran) {
		o.wrong = fmt.Sprintf("error of another shape: %.80q", got)
	}
	o.code = body.Error.Code
}

// checkResponse checks the body of a back end's response to a request with that body.
func (o *outcome) checkResponse(got, requestBody []byte) {
	var response testbackend.Response
	switch {
	case json.Unmarshal(got, &response) != nil:
		o.wrong = fmt.Sprintf("not the back end's answer: %.80q", got)
	case response.ID != o.id:
		o.wrong, o.others = "the answer is to exchange "+response.ID, true
	case response.Service != o.kind.Service:
		o.wrong = "the answer is from service " + response.Service
	case response.Sum != testbackend.Sum(requestBody):
		o.wrong = "the back end read another body"
	case len(response.Padding) != o.kind.ResponseSize:
		o.wrong = fmt.Sprintf("%d of %d bytes", len(response.Padding), o.kind.ResponseSize)
	}
}

// This file is how the back end fails on request.

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"myrtlefold/internal/daemon"
	"myrtlefold/internal/verification/testbackend"
)

// faultMode is a way to fail, as callers name it.
type faultMode string

// The ways to fail.
const (
	noFault      faultMode = "ok"
	faultHang    faultMode = "hang"    // no responses, no heartbeats
	faultStuck   faultMode = "stuck"   // no responses to requests
	faultMute    faultMode = "mute"    // no heartbeats
	faultSlow    faultMode = "slow"    // slow:DURATION, what each request takes at least
	faultLose    faultMode = "lose"    // runs a request and loses the response
	faultHalf    faultMode = "half"    // sends half a response
	faultGarbage faultMode = "garbage" // sends what is no HTTP
	faultSurplus faultMode = "surplus" // surplus:DURATION, sends another response, that nobody asked for, so much later
	faultReset   faultMode = "reset"   // resets the connection in place of a response
	faultFail    faultMode = "fail"    // responds 500 without running
)

// leaveRequest asks the back end to leave, by the parameter that names a fault.
const leaveRequest = "leave"

// fault is how the back end fails now.
type fault struct {
	mode  faultMode
	delay time.Duration // of faultSlow and faultSurplus
}

// parseFault reads MODE or MODE:DURATION. A mode that is not known is no fault, an invalid duration none.
func parseFault(text string) *fault {
	mode, duration, _ := strings.Cut(text, ":")
	delay, _ := time.ParseDuration(duration)
	return &fault{mode: faultMode(mode), delay: delay}
}

// setFault responds at testbackend.FaultPath.
func (b *backend) setFault(_ http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get(testbackend.FaultParameter)
	b.fault.Store(parseFault(text))
	if text == leaveRequest {
		select {
		case b.leaveRequests <- struct{}{}:
		default: // it leaves already
		}
	}
}

// failure is the body of the response to a request that failed.
type failure struct {
	Error   string `json:"error"`
	ID      string `json:"id"`
	Service string `json:"service"`
}

// respond sends a response, as far as the fault lets it.
func (f fault) respond(w http.ResponseWriter, response testbackend.Response) {
	body, _ := json.Marshal(response) // a Response has nothing that JSON can't hold
	switch f.mode {
	case faultSurplus:
		f.respondTwice(w, response.ID, body)
	case faultReset:
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			reset(conn)
		}
	case faultLose, faultHalf, faultGarbage:
		f.respondBroken(w, body)
	case faultFail:
		daemon.WriteJSON(w, http.StatusInternalServerError, failure{Error: "asked to fail", ID: response.ID, Service: response.Service})
	default:
		setBodyHeaders(w.Header(), body)
		w.Write(body)
	}
}

func setBodyHeaders(header http.Header, body []byte) {
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
}

// respondTwice sends a response, and later another that nobody asked for.
func (f fault) respondTwice(w http.ResponseWriter, id string, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	header := w.Header().Clone()
	setBodyHeaders(header, body)
	go sendSurplus(conn, surplusResponse{header: header, body: body, id: id, attemptHeader: headers.Attempt, delay: f.delay})
}

// respondBroken sends nothing, half a response or garbage, and closes the connection.
func (f fault) respondBroken(w http.ResponseWriter, body []byte) {
	conn, output, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	switch f.mode {
	case faultHalf:
		fmt.Fprintf(output, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
	case faultGarbage:
		fmt.Fprintf(output, "\x00\x01 nothing that HTTP knows\r\n\r\n%s", body)
	}
	output.Flush()
}

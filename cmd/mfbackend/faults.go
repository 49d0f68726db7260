// Fault injection on request.

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

// faultMode is a kind of fault, by its name in testbackend.FaultParameter.
type faultMode string

// The kinds of faults.
const (
	noFault      faultMode = "ok"
	faultHang    faultMode = "hang"    // sends neither responses nor heartbeats
	faultStuck   faultMode = "stuck"   // sends no responses to requests, but still heartbeats
	faultMute    faultMode = "mute"    // sends no heartbeats
	faultSlow    faultMode = "slow"    // slow:DURATION: each request takes at least DURATION
	faultLose    faultMode = "lose"    // runs the request and closes the connection without a response
	faultHalf    faultMode = "half"    // sends half of the response and closes the connection
	faultGarbage faultMode = "garbage" // sends data that is not HTTP
	faultSurplus faultMode = "surplus" // surplus:DURATION: sends an unsolicited response DURATION after each response
	faultReset   faultMode = "reset"   // resets the connection instead of sending the response
	faultFail    faultMode = "fail"    // responds with status 500 and does not log the request
)

// leaveRequest is the value of testbackend.FaultParameter that asks the back end to leave.
const leaveRequest = "leave"

// fault is a fault with its parameter.
type fault struct {
	mode  faultMode
	delay time.Duration // parameter of faultSlow and faultSurplus; 0 for other faults
}

// parseFault parses MODE or MODE:DURATION. An unknown mode has no effect, and an invalid duration counts as 0.
func parseFault(text string) *fault {
	mode, duration, _ := strings.Cut(text, ":")
	delay, _ := time.ParseDuration(duration)
	return &fault{mode: faultMode(mode), delay: delay}
}

// setFault handles requests at testbackend.FaultPath.
func (b *backend) setFault(_ http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get(testbackend.FaultParameter)
	b.fault.Store(parseFault(text))
	if text == leaveRequest {
		select {
		case b.leaveRequests <- struct{}{}:
		default: // it is already leaving
		}
	}
}

// failure is the response body for a request that failed.
type failure struct {
	Error   string `json:"error"`
	ID      string `json:"id"`      // id of the request
	Service string `json:"service"` // service of the back end
}

// respond sends a response, modified as the fault requires.
func (f fault) respond(w http.ResponseWriter, response testbackend.Response) {
	body, _ := json.Marshal(response) // marshalling a Response cannot fail
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
		daemon.WriteJSON(w, http.StatusInternalServerError, failure{Error: "failure injected on request", ID: response.ID, Service: response.Service})
	default:
		setBodyHeaders(w.Header(), body)
		w.Write(body)
	}
}

func setBodyHeaders(header http.Header, body []byte) {
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
}

// respondTwice sends a response and, later, an unsolicited one on the same connection.
func (f fault) respondTwice(w http.ResponseWriter, id string, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	header := w.Header().Clone()
	setBodyHeaders(header, body)
	go sendSurplus(conn, surplusResponse{header: header, body: body, id: id, attemptHeader: headers.Attempt, delay: f.delay})
}

// respondBroken closes the connection after it has sent nothing, half of the response, or data that is not HTTP.
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

// This file implements callers of a soak that send ahead: each has several requests unanswered on its connection at all
// times and sends the next one as soon as a response has been read. Responses are long and the receive window is small, so
// that a proxy has written a response long before its caller has received it.

package main

import (
	"math/rand/v2"
	"strconv"
	"time"

	"myrtlefold/internal/verification/testnet"
)

const (
	readerDepth         = 3                      // requests that are unanswered on a connection
	readerWindow        = 64 << 10               // receive buffer in bytes
	readerPaddingMax    = 540_000                // longest padding of a response in bytes
	readerProcessingMax = 200 * time.Millisecond // longest processing time of a request
)

// runReader runs one caller that sends ahead. Every third one always uses the same proxy, ready or not.
func (c *soakCallers) runReader(number int, rnd *rand.Rand) (outcomes []requestOutcome) {
	name := "reader" + strconv.Itoa(number)
	c.useConnections(name, number%3 == 0, rnd, testnet.SmallWindow(readerWindow), func(connection *callerConnection) {
		outcomes = append(outcomes, connection.sendAhead()...)
	})
	return outcomes
}

// sendAhead sends requests and reads their responses until the connection is closed or the run has ended and all requests
// are answered.
func (c *callerConnection) sendAhead() (outcomes []requestOutcome) {
	var unanswered []requestOutcome
	for open := true; open; {
		for len(unanswered) < readerDepth && !c.callers.isStopped() {
			unanswered = append(unanswered, c.sendLong(len(unanswered) > 0))
		}
		if len(unanswered) == 0 {
			return outcomes
		}
		next := &unanswered[0]
		open = c.readResponse(next)
		if next.status == 0 {
			next.finishedAt = time.Now()
		}
		c.callers.sleep(next.retryAfter)
		outcomes = append(outcomes, *next)
		unanswered = unanswered[1:]
	}
	for i := range unanswered {
		unanswered[i].finishedAt = time.Now()
	}
	return append(outcomes, unanswered...)
}

// sendLong sends a request for a long response. pipelined means that an earlier request is unanswered.
func (c *callerConnection) sendLong(pipelined bool) requestOutcome {
	outcome := requestOutcome{id: c.nextID(), kind: &requestKinds[0], proxy: c.proxy, pipelined: pipelined}
	processing := time.Duration(c.random.Int64N(int64(readerProcessingMax)))
	c.setDeadline()
	_, err := c.conn.Write(c.buildRequest(outcome.kind, outcome.id, processing, 1+c.random.IntN(readerPaddingMax)))
	outcome.sentAt, outcome.notWritten = time.Now(), err != nil
	return outcome
}

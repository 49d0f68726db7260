// This file implements callers of a soak that stall: they neither read what they are sent nor close their connections, for
// longer than a grace period. No stop may wait for them. The outcomes of their requests are not checked.

package main

import (
	"math/rand/v2"
	"strconv"
	"time"

	"myrtlefold/internal/verification/testnet"
)

const (
	stalledHoldMin  = 2 * time.Second       // least time for which a stalled caller keeps a connection
	stalledHoldMax  = 10 * time.Second      // bound of the random time added to stalledHoldMin
	stalledPadding  = 8 << 20               // padding in bytes of a response that no kernel buffers
	stalledInterval = 20 * time.Millisecond // between two requests of a caller that only sends
)

// stalledBehaviors are what stalled callers do on a connection; they take turns. Each begins to do so and returns, and the
// caller keeps the connection open.
var stalledBehaviors = []func(*callerConnection){
	(*callerConnection).staySilent,
	(*callerConnection).readNothing,
	(*callerConnection).onlySend,
	(*callerConnection).stopUploading,
}

// runStalledCaller runs one stalled caller.
func (c *soakCallers) runStalledCaller(number int, rnd *rand.Rand) {
	behave := stalledBehaviors[number%len(stalledBehaviors)]
	c.useConnections("stalled"+strconv.Itoa(number), false, rnd, testnet.SmallWindow(readerWindow), func(connection *callerConnection) {
		hold := stalledHoldMin + time.Duration(rnd.Int64N(int64(stalledHoldMax)))
		connection.conn.SetDeadline(time.Now().Add(hold))
		behave(connection)
		c.sleep(hold)
	})
}

// send writes a request and returns false if that failed.
func (c *callerConnection) send(kind *requestKind, padding int) bool {
	_, err := c.conn.Write(c.buildRequest(kind, c.nextID(), 0, padding))
	return err == nil
}

// staySilent gets one response and does not close the connection when the proxy does.
func (c *callerConnection) staySilent() {
	if c.send(&requestKinds[0], 0) {
		c.readResponse(&requestOutcome{kind: &requestKinds[0]})
	}
}

// readNothing sends a request for a response that is longer than what kernels buffer, and does not read it.
func (c *callerConnection) readNothing() { c.send(&requestKinds[0], stalledPadding) }

// onlySend sends requests until that fails, and reads no response.
func (c *callerConnection) onlySend() {
	for !c.callers.isStopped() && c.send(&requestKinds[0], 0) {
		c.callers.sleep(stalledInterval)
	}
}

// stopUploading sends half of a request's body.
func (c *callerConnection) stopUploading() {
	kind := &requestKinds[2]
	request := c.buildRequest(kind, c.nextID(), 0, 0)
	c.conn.Write(request[:len(request)-kind.body/2])
}

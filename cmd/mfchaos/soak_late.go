// This file implements a second operator of a soak, which gives calls up. It withdraws the emptying of a failure domain, gives
// that up after a second, sends it again elsewhere and empties the domain again. The calls that it gave up arrive later: a
// daemon stood still, or the network held them, and the end of their connections for a round trip longer. They must have no
// effect.

package main

import (
	"fmt"
	"net"
	"slices"
	"time"
)

const (
	latePatience      = time.Second             // until the operator gives a call up
	lateHoldMin       = 1800 * time.Millisecond // how long the network holds a call on an open connection
	lateHoldSpan      = 2 * time.Second
	lateEndDelay      = 60 * time.Millisecond // how much later the end of the connection arrives
	lateObservation   = 1500 * time.Millisecond
	lateReadInterval  = 50 * time.Millisecond
	lateFreezeMin     = 1500 * time.Millisecond // how long a control daemon stands still
	lateFreezeSpan    = 3 * time.Second
	lateFreezeMeanGap = 5 * time.Second
)

// lateOperator changes a domain that has no process, so that callers are not concerned.
type lateOperator struct {
	*soakOperator
	domain string
}

// startLateOperator starts a lateOperator.
func (s *soak) startLateOperator(domain string) *lateOperator {
	o := &lateOperator{s.newOperator(3), domain}
	o.running.Go(o.run)
	return o
}

// run changes the domain until it is stopped, and then restores it.
func (o *lateOperator) run() {
	for !o.isStopped() {
		o.overtake()
	}
	o.sendUntilConclusive("POST", o.path("restore"), nil)
}

// path returns the path of an action on the domain.
func (o *lateOperator) path(action string) string { return "/v1/domains/" + o.domain + "/" + action }

// isAcknowledged sends an action on the domain until it has a conclusive reply, and reports whether it was acknowledged.
func (o *lateOperator) isAcknowledged(action string) bool {
	status, _ := o.sendUntilConclusive("POST", o.path(action), nil)
	return status == 200
}

// overtake empties the domain, has withdrawals arrive late at all control daemons, and checks that they do not undo a later
// emptying.
func (o *lateOperator) overtake() {
	if !o.isAcknowledged("empty") {
		return
	}
	lastArrival := time.Now()
	for _, control := range o.soak.controls {
		hold := lateHoldMin + time.Duration(o.random.Int64N(int64(lateHoldSpan)))
		lastArrival = time.Now().Add(hold)
		go o.sendHeld(control, hold)
	}
	go o.sendAndGiveUp(o.soak.controls[o.random.IntN(len(o.soak.controls))])
	o.sleep(latePatience)
	if !o.isAcknowledged("restore") || !o.isAcknowledged("empty") {
		return
	}
	emptiedAt := time.Now()
	o.soak.log.add(eventOvertaken, "")
	o.checkStaysEmptied(emptiedAt, lastArrival.Add(max(lateObservation, lateFreezeMin+lateFreezeSpan-lateHoldMin)))
}

// checkStaysEmptied reads the emptied domains until a time and checks that the domain is one of them.
func (o *lateOperator) checkStaysEmptied(emptiedAt, until time.Time) {
	for time.Now().Before(until) && !o.isStopped() {
		asked := time.Now()
		emptied, known := o.readEmptied(o.soak.controls[o.random.IntN(len(o.soak.controls))])
		if known && !slices.Contains(emptied, o.domain) {
			o.soak.recordViolation(ruleLateChange, "domain %s is not emptied %v after that was acknowledged: a withdrawal from before has undone it", o.domain, asked.Sub(emptiedAt))
			return
		}
		o.sleep(lateReadInterval)
	}
}

// withdrawal returns the request that takes the emptying back.
func (o *lateOperator) withdrawal() string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: soak\r\nContent-Length: 0\r\n\r\n", o.path("restore"))
}

// sendHeld opens a connection to a control daemon and sends a withdrawal as the daemon sees it if the network holds it: late, and
// with the end of the connection right behind it.
func (o *lateOperator) sendHeld(control *process, hold time.Duration) {
	conn, err := net.DialTimeout("tcp", control.http, latePatience)
	if err != nil {
		return
	}
	defer conn.Close()
	time.Sleep(hold)
	conn.Write([]byte(o.withdrawal())) // an error means that the daemon has ended
	time.Sleep(lateEndDelay)
}

// sendAndGiveUp sends a withdrawal to a control daemon, which may stand still, and closes the connection after latePatience.
func (o *lateOperator) sendAndGiveUp(control *process) {
	conn, err := net.DialTimeout("tcp", control.http, latePatience)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.Write([]byte(o.withdrawal()))
	time.Sleep(latePatience)
}

package main

import (
	"fmt"
	"syscall"
	"time"
)

// freezeTime is how long the daemon stands still: the bench's own length of the trouble.
const freezeTime = 5 * time.Second

// secondThought is how long after the acknowledged withdrawal the operator evacuates the zone again.
const secondThought = 1500 * time.Millisecond

// lateRestore plays case 1. A zone is evacuated, taken back and evacuated again while one control daemon stands still. The
// operator's first try to take the zone back goes to that daemon. After a second of silence the operator closes that
// connection and sends the order to another daemon, which acknowledges it. The second evacuation is acknowledged too, and is
// never taken back. The rule EVAC must hold for it.
func lateRestore(w *world) (held bool, err error) {
	op, err := w.startServing()
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	zone := "ja-ela"
	if err := w.order(op, zone, "empty"); err != nil {
		return false, err
	}
	time.Sleep(evacuate + time.Second)

	frozen, order, err := w.fleet.follower(op.daemons)
	if err != nil {
		return false, err
	}
	op.daemons = order
	frozenAt := time.Now()
	if w.trouble {
		w.fleet.signal(frozen, syscall.SIGSTOP)
	}
	if err := w.order(op, zone, "restore"); err != nil {
		return false, err
	}
	op.daemons = append(op.daemons[1:], op.daemons[0])
	time.Sleep(secondThought)
	if err := w.order(op, zone, "empty"); err != nil {
		return false, err
	}
	acknowledged := w.record.now()
	time.Sleep(time.Until(frozenAt.Add(freezeTime)))
	if w.trouble {
		w.fleet.signal(frozen, syscall.SIGCONT)
	}
	settled := w.record.now() + contact
	judgedFrom := max(acknowledged+evacuate, settled)
	time.Sleep(judgedFrom - w.record.now() + 8*time.Second)

	reached := w.reachedInZone(zone, judgedFrom)
	w.record.announcef("the second evacuation of %s was acknowledged at %.3f; the machines were in touch from %.3f on; %d requests reached the zone's servers after %.3f",
		zone, acknowledged.Seconds(), settled.Seconds(), reached, judgedFrom.Seconds())
	return reached == 0, nil
}

// order sends an order about a zone and expects its acknowledgement.
func (w *world) order(op *operator, zone, action string) error {
	status, _ := op.call("POST", "/v1/domains/"+zone+"/"+action, "", nil, 4*time.Second)
	if status/100 != 2 {
		return fmt.Errorf("%s of %s got %d", action, zone, status)
	}
	w.record.announcef("operator: %s of %s is acknowledged", action, zone)
	return nil
}

// reachedInZone returns how many requests the targets of a zone ran after a time.
func (w *world) reachedInZone(zone string, after time.Duration) (count int) {
	for _, t := range w.targets {
		if t.zone != zone {
			continue
		}
		for _, a := range t.runs() {
			if a.at > after {
				count++
			}
		}
	}
	return count
}

// This file runs an owner: events in, commands out, on one goroutine.

package daemon

import (
	"context"
	"myrtlefold/internal/shared/statemachine"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
)

// item is what the owner's goroutine takes: an event, a question, its cancellation, or a look.
type item struct {
	ev    statemachine.Event
	id    uint64
	reply chan statemachine.Command
	look  func(now time.Duration)
}

// Loop feeds one owner's state machine from one goroutine.
type Loop struct {
	queue   chan item
	host    *Process
	waiting map[uint64]chan statemachine.Command
}

// Post queues an event for the owner; it waits while the queue is full.
func (l *Loop) Post(ev statemachine.Event) { l.queue <- item{ev: ev} }

// Call tells the owner the event ev, and returns the command that answers id. If the context ends
// first it tells the owner cancel and returns nil.
func (l *Loop) Call(ctx context.Context, id uint64, ev, cancel statemachine.Event) statemachine.Command {
	ch := make(chan statemachine.Command, 1)
	l.queue <- item{ev: ev, id: id, reply: ch}
	select {
	case v := <-ch:
		return v
	case <-ctx.Done():
		l.queue <- item{ev: cancel, id: id}
		return nil
	}
}

// Inspect runs f on the owner's goroutine and waits for it.
func (l *Loop) Inspect(f func(now time.Duration)) {
	done := make(chan struct{})
	l.queue <- item{look: func(now time.Duration) { f(now); close(done) }}
	<-done
}

// Respond passes the answer to id to whoever waits in Ask; on the owner's goroutine.
func (l *Loop) Respond(id uint64, v statemachine.Command) {
	if ch := l.waiting[id]; ch != nil {
		delete(l.waiting, id)
		ch <- v
	}
}

// Run is the owner's goroutine: it steps the state machine for each event and each tick, and passes
// the commands to exec. It does not return.
func (l *Loop) Run(step func(time.Duration, statemachine.Event) []statemachine.Command, exec func(cmd statemachine.Command)) {
	tick := time.NewTicker(tuning.TickEvery)
	defer tick.Stop()
	do := func(ev statemachine.Event) {
		for _, c := range step(l.host.Now(), ev) {
			exec(c)
		}
	}
	for {
		select {
		case it := <-l.queue:
			switch {
			case it.look != nil:
				it.look(l.host.Now())
				continue
			case it.reply != nil:
				l.waiting[it.id] = it.reply
			case it.id != 0:
				delete(l.waiting, it.id)
			}
			if it.ev != nil {
				do(it.ev)
			}
		case <-tick.C:
			do(statemachine.Tick{})
		}
	}
}

// passes reports whether a listener's error ends by itself: descriptors come free, or one caller went.
func passes(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

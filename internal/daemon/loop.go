// This file runs a state machine: events in, commands out, on one goroutine.

package daemon

import (
	"context"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// loopItem is what the loop's goroutine takes from its queue: an event, a call, a call's cancellation, or an
// inspection.
type loopItem struct {
	event   statemachine.Event          // nil: none
	callID  uint64                      // of a call or its cancellation, else 0
	reply   chan<- statemachine.Command // of a call, else nil
	inspect func(now time.Duration)     // of an inspection, else nil
}

// Loop feeds one state machine from one goroutine, that of Run. All other methods but Respond may be called on any
// goroutine; once Run has returned they return at once.
type Loop struct {
	queue   chan loopItem
	done    chan struct{} // closed when Run returns
	clock   *Clock
	pending map[uint64]chan<- statemachine.Command // who waits in Call, by id; Run's goroutine owns it
}

func newLoop(clock *Clock) *Loop {
	return &Loop{
		queue:   make(chan loopItem, tuning.EventQueue),
		done:    make(chan struct{}),
		clock:   clock,
		pending: map[uint64]chan<- statemachine.Command{},
	}
}

// enqueue waits while the queue is full. It reports whether the loop takes items at all.
func (l *Loop) enqueue(item loopItem) bool {
	select {
	case l.queue <- item:
		return true
	case <-l.done:
		return false
	}
}

// Post queues an event for the state machine; it waits while the queue is full.
func (l *Loop) Post(event statemachine.Event) { l.enqueue(loopItem{event: event}) }

// Call posts an event and returns the command that answers id. If the context ends first it posts cancel, which may
// be nil, and returns nil.
func (l *Loop) Call(ctx context.Context, id uint64, event, cancel statemachine.Event) statemachine.Command {
	reply := make(chan statemachine.Command, 1)
	if !l.enqueue(loopItem{event: event, callID: id, reply: reply}) {
		return nil
	}
	select {
	case command := <-reply:
		return command
	case <-ctx.Done():
		l.enqueue(loopItem{event: cancel, callID: id})
		return nil
	case <-l.done:
		return nil
	}
}

// Inspect runs f between two steps of the state machine and waits for it. Once Run has returned, f is not run.
func (l *Loop) Inspect(f func(now time.Duration)) {
	inspected := make(chan struct{})
	item := loopItem{inspect: func(now time.Duration) { f(now); close(inspected) }}
	if !l.enqueue(item) {
		return
	}
	select {
	case <-inspected:
	case <-l.done:
	}
}

// Respond passes a command to whoever waits for it in Call, if it still waits; only on Run's goroutine.
func (l *Loop) Respond(id uint64, command statemachine.Command) {
	if reply := l.pending[id]; reply != nil {
		delete(l.pending, id)
		reply <- command
	}
}

// Run steps the state machine for each event and each tick until the context ends, and passes the commands to
// execute. It reads the clock after it has taken an event, so a step's time is never before the event's arrival.
func (l *Loop) Run(ctx context.Context, step func(time.Duration, statemachine.Event) []statemachine.Command, execute func(context.Context, statemachine.Command)) {
	defer close(l.done)
	ticker := time.NewTicker(tuning.TickEvery)
	defer ticker.Stop()
	stepAndExecute := func(event statemachine.Event) {
		for _, command := range step(l.clock.Now(), event) {
			execute(ctx, command)
		}
	}
	for {
		select {
		case item := <-l.queue:
			if event := l.take(item); event != nil {
				stepAndExecute(event)
			}
		case <-ticker.C:
			stepAndExecute(statemachine.Tick{})
		case <-ctx.Done():
			return
		}
	}
}

// Wait waits until Run has returned.
func (l *Loop) Wait() { <-l.done }

// take does what an item asks of the loop itself, and returns its event, nil: it has none.
func (l *Loop) take(item loopItem) statemachine.Event {
	switch {
	case item.inspect != nil:
		item.inspect(l.clock.Now())
	case item.reply != nil:
		l.pending[item.callID] = item.reply
	case item.callID != 0:
		delete(l.pending, item.callID)
	}
	return item.event
}

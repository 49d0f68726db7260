// The event loop of a daemon, which steps its state machine on one goroutine.

package daemon

import (
	"context"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// loopItem is an item of the loop's queue: an event, a call, the cancellation of a call, or an inspection.
type loopItem struct {
	event   statemachine.Event          // event for the state machine, nil for none
	callID  uint64                      // id of the call that the item makes or cancels, else 0
	reply   chan<- statemachine.Command // receives the reply to a call, else nil
	inspect func(now time.Duration)     // function to run between two steps, else nil
}

// Loop steps one state machine on the goroutine that calls Run. Respond must be called on that goroutine; all other
// methods are safe for concurrent use and don't block once Run has returned.
type Loop struct {
	queue   chan loopItem
	done    chan struct{} // closed when Run returns
	clock   *Clock
	pending map[uint64]chan<- statemachine.Command // reply channels by call id; owned by Run's goroutine
}

func newLoop(clock *Clock) *Loop {
	return &Loop{
		queue:   make(chan loopItem, tuning.EventQueue),
		done:    make(chan struct{}),
		clock:   clock,
		pending: map[uint64]chan<- statemachine.Command{},
	}
}

// enqueue adds an item to the queue and blocks while the queue is full. It returns false if the loop has stopped.
func (l *Loop) enqueue(item loopItem) bool {
	select {
	case l.queue <- item:
		return true
	case <-l.done:
		return false
	}
}

// Post queues an event for the state machine. It blocks while the queue is full.
func (l *Loop) Post(event statemachine.Event) { l.enqueue(loopItem{event: event}) }

// Call posts an event and returns the command that replies to the call with that id. If the context ends first, it
// posts cancel (unless nil) and returns nil. It also returns nil once the loop has stopped.
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

// Inspect runs f between two steps of the state machine and waits until it returns. Once Run has returned, f is not
// run.
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

// Respond passes the reply to the Call with that id, if it is still waiting. It must be called on Run's goroutine.
func (l *Loop) Respond(id uint64, command statemachine.Command) {
	if reply := l.pending[id]; reply != nil {
		delete(l.pending, id)
		reply <- command
	}
}

// Run steps the state machine for each event and each tick until the context ends, and passes its commands to execute.
// It reads the clock after dequeuing an event, so the time of a step is never before the event's arrival.
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
			if event := l.dequeue(item); event != nil {
				stepAndExecute(event)
			}
		case <-ticker.C:
			stepAndExecute(statemachine.Tick{})
		case <-ctx.Done():
			return
		}
	}
}

// Wait blocks until Run has returned.
func (l *Loop) Wait() { <-l.done }

// dequeue runs the inspection or updates the pending calls as an item requires, and returns its event, nil for none.
func (l *Loop) dequeue(item loopItem) statemachine.Event {
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

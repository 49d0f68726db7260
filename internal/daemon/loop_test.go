package daemon

import (
	"context"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
)

// echo answers each call with a reply of the same id.
func echo(_ time.Duration, event statemachine.Event) []statemachine.Command {
	if call, ok := event.(statemachine.Call); ok {
		return []statemachine.Command{statemachine.Reply{ID: call.ID}}
	}
	return nil
}

// The loop answers calls and inspections while it runs; once its context has ended nobody is kept waiting.
func TestLoopEndsWithItsContext(t *testing.T) {
	loop := newLoop(&Clock{start: time.Now()})
	ctx, cancel := context.WithCancel(t.Context())
	go loop.Run(ctx, echo, func(_ context.Context, command statemachine.Command) {
		if reply, ok := command.(statemachine.Reply); ok {
			loop.Respond(reply.ID, reply)
		}
	})
	if reply, ok := loop.Call(t.Context(), 7, statemachine.Call{ID: 7}, nil).(statemachine.Reply); !ok || reply.ID != 7 {
		t.Fatalf("%+v", reply)
	}
	inspected := false
	loop.Inspect(func(time.Duration) { inspected = true })
	if !inspected {
		t.Fatal("not inspected")
	}
	cancel()
	loop.Wait()
	if command := loop.Call(t.Context(), 8, statemachine.Call{ID: 8}, nil); command != nil {
		t.Fatalf("%+v", command)
	}
	loop.Inspect(func(time.Duration) { t.Error("inspected after the end") })
	for range 2 * cap(loop.queue) {
		loop.Post(statemachine.Tick{})
	}
}

// A caller that goes away gets no command, and the state machine gets the cancellation.
func TestCanceledCall(t *testing.T) {
	loop := newLoop(&Clock{start: time.Now()})
	events := make(chan statemachine.Event, 8)
	step := func(_ time.Duration, event statemachine.Event) []statemachine.Command {
		if _, tick := event.(statemachine.Tick); !tick {
			events <- event
		}
		return nil
	}
	go loop.Run(t.Context(), step, func(context.Context, statemachine.Command) {})
	ctx, cancel := context.WithCancel(t.Context())
	answered := make(chan statemachine.Command)
	go func() { answered <- loop.Call(ctx, 3, statemachine.Admit{ID: 3}, statemachine.Cancel{ID: 3}) }()
	if event := <-events; event != (statemachine.Admit{ID: 3}) {
		t.Fatalf("%+v", event)
	}
	cancel()
	if command := <-answered; command != nil {
		t.Fatalf("%+v", command)
	}
	if event := <-events; event != (statemachine.Cancel{ID: 3}) {
		t.Fatalf("%+v", event)
	}
	loop.Inspect(func(time.Duration) {
		if len(loop.pending) != 0 {
			t.Errorf("%d calls are pending", len(loop.pending))
		}
	})
}

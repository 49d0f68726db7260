package daemon

import (
	"context"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
)

// echo is the step function of a state machine that replies to each call.
func echo(_ time.Duration, event statemachine.Event) []statemachine.Command {
	if call, ok := event.(statemachine.Call); ok {
		return []statemachine.Command{statemachine.Reply{ID: call.ID}}
	}
	return nil
}

// The loop serves calls and inspections while it runs. Once its context has ended, no method blocks.
func TestLoopStopsWithContext(t *testing.T) {
	loop := newLoop(&Clock{start: time.Now()})
	ctx, cancel := context.WithCancel(t.Context())
	go loop.Run(ctx, echo, func(_ context.Context, command statemachine.Command) {
		if reply, ok := command.(statemachine.Reply); ok {
			loop.Respond(reply.ID, reply)
		}
	})
	if reply, ok := loop.Call(t.Context(), 7, statemachine.Call{ID: 7}, nil).(statemachine.Reply); !ok || reply.ID != 7 {
		t.Fatalf("reply %+v, want one to call 7", reply)
	}
	inspected := false
	loop.Inspect(func(time.Duration) { inspected = true })
	if !inspected {
		t.Fatal("Inspect returned without running its function")
	}
	cancel()
	loop.Wait()
	if command := loop.Call(t.Context(), 8, statemachine.Call{ID: 8}, nil); command != nil {
		t.Fatalf("stopped loop returned command %+v, want nil", command)
	}
	loop.Inspect(func(time.Duration) { t.Error("stopped loop ran an inspection") })
	for range 2 * cap(loop.queue) {
		loop.Post(statemachine.Tick{})
	}
}

// A Call whose context ends returns nil, and the state machine gets the cancellation.
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
	returned := make(chan statemachine.Command)
	go func() { returned <- loop.Call(ctx, 3, statemachine.Admit{ID: 3}, statemachine.Cancel{ID: 3}) }()
	if event := <-events; event != (statemachine.Admit{ID: 3}) {
		t.Fatalf("event %+v, want Admit 3", event)
	}
	cancel()
	if command := <-returned; command != nil {
		t.Fatalf("canceled call returned command %+v, want nil", command)
	}
	if event := <-events; event != (statemachine.Cancel{ID: 3}) {
		t.Fatalf("event %+v, want Cancel 3", event)
	}
	loop.Inspect(func(time.Duration) {
		if len(loop.pending) != 0 {
			t.Errorf("%d calls pending after the cancellation, want 0", len(loop.pending))
		}
	})
}

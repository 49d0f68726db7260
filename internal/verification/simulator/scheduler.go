package simulator

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// scheduler holds the virtual time, the queue of future events, and the run's only source of randomness.
type scheduler struct {
	now       time.Duration // virtual time since the machines were switched on
	queue     events
	scheduled uint64 // number of events scheduled so far
	random    *rand.Rand
}

// randomStream is the second half of the random generator's seed, the same for all runs.
const randomStream = 0x6d79727465

func newScheduler(seed uint64) scheduler {
	return scheduler{random: rand.New(rand.NewPCG(seed, randomStream))}
}

// schedule schedules a function to run after a delay. Functions that are due at the same time run in the order in which they
// were scheduled.
func (s *scheduler) schedule(delay time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.queue, event{s.now + delay, s.scheduled, run})
}

// randomMilliseconds returns a random duration from low to high milliseconds, inclusive.
func (s *scheduler) randomMilliseconds(low, high int) time.Duration {
	return time.Duration(low)*time.Millisecond + time.Duration(s.random.Int64N(int64(high-low)*int64(time.Millisecond)+1))
}

// event is a function that runs at a given virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// events is a min-heap by time, for package container/heap.
type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less reports whether event i comes before event j.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

// Swap swaps two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event and returns it.
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}

// Run advances virtual time to until, or to the first violation of a rule. It reports whether all rules hold.
func (w *World) Run(until time.Duration) bool {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.Failure == "" {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		w.Stats.Steps++
		next.run()
	}
	if w.Failure == "" {
		w.now = until
	}
	return w.Failure == ""
}

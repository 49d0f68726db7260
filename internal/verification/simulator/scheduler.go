package simulator

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// scheduler holds virtual time, the events to come, and the run's only source of chance.
type scheduler struct {
	now       time.Duration // virtual time since the machines were switched on
	queue     events
	scheduled uint64 // events scheduled so far
	random    *rand.Rand
}

// streamOfSeeds is the second half of each random source's seed, the same for all runs.
const streamOfSeeds = 0x6d79727465

func newScheduler(seed uint64) scheduler {
	return scheduler{random: rand.New(rand.NewPCG(seed, streamOfSeeds))}
}

// schedule has a function run after a delay. Of functions that are due at one moment, the one that was
// scheduled first runs first.
func (s *scheduler) schedule(delay time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.queue, event{s.now + delay, s.scheduled, run})
}

// randomMilliseconds draws a duration between two numbers of milliseconds.
func (s *scheduler) randomMilliseconds(low, high int) time.Duration {
	return time.Duration(low)*time.Millisecond + time.Duration(s.random.Int64N(int64(high-low)*int64(time.Millisecond)+1))
}

// event is a function that is to run at a moment of virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// events is a heap with the earliest event on top, for package container/heap.
type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less says whether event i comes before event j.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

// Swap exchanges two events.
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

// Run moves virtual time on until a moment, or until a rule is broken; it says whether all rules hold.
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

// This file distributes the expansion of states over worker goroutines.

package modelcheck

// batchSize is the number of states that a worker expands at a time.
const batchSize = 64

// expansion is a batch of states and the channel that receives their successors, in one send.
type expansion struct {
	states     []frontierState
	successors chan []successor
}

// expand yields the successors of states, batch by batch and in order. When the iteration ends, its goroutines end as soon as
// they have finished their current batches.
func expand(scenario *Scenario, states []frontierState, workers int) func(func([]successor) bool) {
	return func(yield func([]successor) bool) {
		work := make(chan expansion)
		inOrder := make(chan expansion, 4*workers)
		stop := make(chan struct{})
		defer close(stop)
		for range workers {
			go expandBatches(scenario, work)
		}
		go distribute(states, inOrder, work, stop)
		for batch := range inOrder {
			if !yield(<-batch.successors) {
				return
			}
		}
	}
}

// expandBatches expands batches until the channel is closed.
func expandBatches(scenario *Scenario, work <-chan expansion) {
	c := newCanonicalizer(scenario)
	for batch := range work {
		batch.successors <- successorsOf(batch.states, c)
	}
}

// distribute divides the states into batches and sends each batch first to inOrder, for the consumer, and then to work, for a
// worker. It returns early when stop is closed.
func distribute(states []frontierState, inOrder, work chan<- expansion, stop <-chan struct{}) {
	defer close(work)
	defer close(inOrder)
	for at := 0; at < len(states); at += batchSize {
		batch := expansion{states[at:min(at+batchSize, len(states))], make(chan []successor, 1)}
		for _, receiver := range []chan<- expansion{inOrder, work} {
			select {
			case receiver <- batch:
			case <-stop:
				return
			}
		}
	}
}

// This file spreads the work of a search over goroutines.

package modelcheck

// batchSize is how many states a worker expands at a time.
const batchSize = 64

// expansion is a batch of states, whose successors a worker sends once.
type expansion struct {
	states     []frontierState
	successors chan []successor
}

// expand yields the successors of states in order, a batch at a time. Its goroutines end with it, up to the batches that
// they have begun.
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

// expandBatches expands batches until there are no more.
func expandBatches(scenario *Scenario, work <-chan expansion) {
	c := newCanonicalizer(scenario)
	for batch := range work {
		batch.successors <- successorsOf(batch.states, c)
	}
}

// distribute gives all states out in batches, first in order to whom yields them and then to a worker, until it is stopped.
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

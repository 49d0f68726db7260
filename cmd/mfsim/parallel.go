package main

import (
	"runtime"
	"sync"
)

// forEach calls a function with each number from 0 to count-1, with as many calls at once as there are processors, and waits
// for all calls.
func forEach(count int, run func(i int)) {
	var all sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range count {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			run(i)
		})
	}
	all.Wait()
}

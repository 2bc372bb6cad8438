package emulation

import (
	"runtime"
	"sync"
)

// Experiment is a set of runs: one for each combination of scenario, variant and seed. It is immutable.
type Experiment struct {
	Scenarios []Scenario
	Variants  []Variant
	// Seeds is the number of seeds; they are numbered from 1.
	Seeds int
}

// Run executes all runs in parallel on all processors and returns their results in order. It calls progress, if set, after
// each run.
func (experiment Experiment) Run(progress func(done, total int)) []Result {
	type run struct {
		scenario Scenario
		variant  Variant
		seed     uint64
	}
	var runs []run
	for _, scenario := range experiment.Scenarios {
		for _, variant := range experiment.Variants {
			for seed := range experiment.Seeds {
				runs = append(runs, run{scenario, variant, uint64(seed + 1)})
			}
		}
	}
	results := make([]Result, len(runs))
	next := make(chan int)
	var group sync.WaitGroup
	var mutex sync.Mutex
	done := 0
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for i := range next {
				results[i] = Run(runs[i].scenario, runs[i].variant, runs[i].seed)
				mutex.Lock()
				done++
				if progress != nil {
					progress(done, len(runs))
				}
				mutex.Unlock()
			}
		})
	}
	for i := range runs {
		next <- i
	}
	close(next)
	group.Wait()
	return results
}

package model

import (
	"hash/fnv"
	"strconv"

	"oleandervane.example"
)

// HomeVM is alternative (b): each VM computes the home VM of a key by rendezvous hashing over its own list of VMs, and
// the home VM stores in memory which keys it has run. The caller generates the key.
func HomeVM(world *World, vm int) Process {
	return &homeProcess{world: world, vm: vm, outcomes: map[string]oleandervane.Outcome{}}
}

type homeProcess struct {
	world    *World
	vm       int
	view     []int
	outcomes map[string]oleandervane.Outcome
}

func (process *homeProcess) SetView(vms []int) { process.view = vms }

func (process *homeProcess) Issue() (string, bool) {
	return strconv.Itoa(process.world.report.Filings), true
}

func (process *homeProcess) Receive(key string) Decision {
	home, reached := process.home(key)
	if !reached {
		return Decision{Outcome: oleandervane.Unknown}
	}
	if outcome, found := home.outcomes[key]; found {
		return Decision{Outcome: outcome}
	}
	home.outcomes[key] = oleandervane.Unknown
	return Decision{Run: homeRun{home: home, key: key}}
}

func (process *homeProcess) Query(key string) oleandervane.Outcome {
	home, reached := process.home(key)
	if !reached || home.outcomes[key] == "" {
		return oleandervane.Unknown
	}
	return home.outcomes[key]
}

func (process *homeProcess) Revoke(key string) oleandervane.Outcome {
	home, reached := process.home(key)
	if !reached {
		return oleandervane.Unknown
	}
	if _, found := home.outcomes[key]; !found {
		home.outcomes[key] = oleandervane.NotRun
	}
	return home.outcomes[key]
}

func (process *homeProcess) home(key string) (*homeProcess, bool) {
	best, bestScore := process.vm, uint64(0)
	for _, vm := range process.view {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(key + "/" + strconv.Itoa(vm)))
		if score := hash.Sum64(); score >= bestScore {
			best, bestScore = vm, score
		}
	}
	if !process.world.Reaches(process.vm, best) {
		return nil, false
	}
	return process.world.Process(best).(*homeProcess), true
}

type homeRun struct {
	home *homeProcess
	key  string
}

func (homeRun) CheckBeforeWrite() error { return nil }

func (run homeRun) Finish(outcome oleandervane.Outcome) { run.home.outcomes[run.key] = outcome }

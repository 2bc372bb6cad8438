package model

import (
	"strconv"

	"oleandervane.example"
)

// Store is the key-value store of the platform. Its values persist when VMs are replaced.
type Store struct {
	Unavailable bool
	Writes      int
	Refusals    int
	values      map[string]oleandervane.Outcome
}

func newStore() *Store {
	return &Store{values: map[string]oleandervane.Outcome{}}
}

// create writes a value unless the key already has one. A writer that lost the response finds its own value when it
// retries.
func (store *Store) create(key string, outcome oleandervane.Outcome) (existing oleandervane.Outcome, created bool) {
	store.Writes++
	if existing, found := store.values[key]; found {
		return existing, false
	}
	store.values[key] = outcome
	return outcome, true
}

// StoreRecord is alternative (c): a record per request in the platform's store, which is created before the request is
// written and updated when its outcome is known. The caller generates the key.
func StoreRecord(world *World, _ int) Process {
	return storeProcess{world: world, store: world.Store}
}

type storeProcess struct {
	world *World
	store *Store
}

func (process storeProcess) Issue() (string, bool) {
	return strconv.Itoa(process.world.report.Filings), true
}

func (process storeProcess) Receive(key string) Decision {
	if process.store.Unavailable {
		process.store.Refusals++
		return Decision{Outcome: oleandervane.Unknown}
	}
	existing, created := process.store.create(key, oleandervane.Unknown)
	if !created {
		return Decision{Outcome: existing}
	}
	return Decision{Run: storeRun{store: process.store, key: key}}
}

func (process storeProcess) Query(key string) oleandervane.Outcome {
	if process.store.Unavailable || process.store.values[key] == "" {
		return oleandervane.Unknown
	}
	return process.store.values[key]
}

func (process storeProcess) Revoke(key string) oleandervane.Outcome {
	if process.store.Unavailable {
		return oleandervane.Unknown
	}
	existing, _ := process.store.create(key, oleandervane.NotRun)
	return existing
}

type storeRun struct {
	store *Store
	key   string
}

func (storeRun) CheckBeforeWrite() error { return nil }

func (run storeRun) Finish(outcome oleandervane.Outcome) {
	if run.store.Unavailable {
		return
	}
	run.store.Writes++
	run.store.values[run.key] = outcome
}

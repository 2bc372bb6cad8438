package gossip

import (
	"context"
	"time"

	"oleandervane.example"
)

// Keys of the platform's store.
const (
	HeadKey           = "config/head"
	chunkKeyPrefix    = "config/chunk/"
	snapshotKeyPrefix = "steering/"
)

// storeTimeout bounds a call; a healthy store responds in milliseconds.
const storeTimeout = 2 * time.Second

// Store is a non-blocking client of the platform's store: calls return at once and done is called later.
type Store interface {
	Get(key string, done func(oleandervane.StoreEntry, error))
	CompareAndSwap(key string, version uint64, value []byte, done func(oleandervane.StoreEntry, error))
	// Watch calls done with changed unset if the version of the key is still the same after the duration.
	Watch(key string, version uint64, duration time.Duration, done func(entry oleandervane.StoreEntry, changed bool, err error))
}

// NewAsynchronousStore returns a Store that runs each call to store on a goroutine of its own.
func NewAsynchronousStore(store oleandervane.Store) Store {
	return asynchronousStore{store: store}
}

type asynchronousStore struct {
	store oleandervane.Store
}

func (store asynchronousStore) Get(key string, done func(oleandervane.StoreEntry, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		done(store.store.Get(ctx, key))
	}()
}

func (store asynchronousStore) CompareAndSwap(key string, version uint64, value []byte, done func(oleandervane.StoreEntry, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		done(store.store.CompareAndSwap(ctx, key, version, value))
	}()
}

func (store asynchronousStore) Watch(key string, version uint64, duration time.Duration, done func(oleandervane.StoreEntry, bool, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), duration)
		defer cancel()
		entry, err := store.store.Watch(ctx, key, version)
		if err != nil && ctx.Err() != nil {
			done(oleandervane.StoreEntry{}, false, nil)
			return
		}
		done(entry, err == nil, err)
	}()
}

package oleandervane

import "context"

// StoreEntry is the value of a key in the platform's store at one version. Version 0 means that the key is absent.
type StoreEntry struct {
	Key     string
	Value   []byte
	Version uint64
}

// Store is the platform's key-value service. Each call counts against its rate limits; a waiting watch counts as one.
type Store interface {
	// Get returns the entry of a key; an absent key has version 0 and no error.
	Get(ctx context.Context, key string) (StoreEntry, error)
	// CompareAndSwap writes value if the key's version is the given one (0: absent) and returns the new entry.
	CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (StoreEntry, error)
	// Watch waits until the key's version differs from the given one, or ctx ends.
	Watch(ctx context.Context, key string, version uint64) (StoreEntry, error)
}

// VMList is the platform's list of live and leaving VMs. The list lags behind their actual state.
type VMList interface {
	Read(ctx context.Context) (VMListing, error)
}

// Prober asks a backend server for its load.
type Prober interface {
	Probe(ctx context.Context, backendServer BackendServer) (LoadReport, error)
}

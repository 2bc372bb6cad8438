package oleandervane

import (
	"cmp"
	"context"
	"time"
)

// Registry is the content that operators and backend servers have written to the platform's store: the route table,
// the backend servers, and the evacuated failure domains. It is immutable.
type Registry struct {
	// Table is nil until the first configuration that can be read.
	Table          *RouteTable
	BackendServers map[BackendServerID]RegisteredServer
	Evacuated      map[FailureDomain]bool
}

// RegistryReader reads the entries of operators and backend servers in the store.
type RegistryReader interface {
	// Apply returns the registry after the changes. Entries that cannot be read are reported in the error, which
	// joins one error for each; a configuration that cannot be read leaves the previous one in force, an entry of it that cannot be
	// read loses only itself.
	Apply(registry Registry, changes []StoreChange) (Registry, error)
	// IsBackendServer reports whether a key holds the entry of a backend server.
	IsBackendServer(key string) bool
}

// RegisteredServer is a backend server as it registered itself. It is immutable.
type RegisteredServer struct {
	BackendServer
	// Software is the version of the server's software.
	Software string
	// ColdLeft is how much longer the server stays cold, from the time at which the entry was read.
	ColdLeft time.Duration
	// StartedAt identifies the run of the server by its start in Unix milliseconds; zero when it is not known.
	StartedAt int64
}

// StoreChange is a change of one key: its new entry, or its removal.
type StoreChange struct {
	Entry   StoreEntry
	Removed bool
}

// StoreEra counts how often the platform's store was restored from a copy. A store that does not state it has era 0.
type StoreEra uint64

// StoreRevision is a revision of the platform's store. A store that is restored issues the numbers after its copy again, so that
// numbers of different eras have nothing to do with each other. It is immutable.
type StoreRevision struct {
	Era    StoreEra
	Number uint64
}

// Compare orders revisions by what they know of the store: any revision of a later era is later, because the store lost what it had
// beyond its copy.
func (storeRevision StoreRevision) Compare(other StoreRevision) int {
	return cmp.Or(cmp.Compare(storeRevision.Era, other.Era), cmp.Compare(storeRevision.Number, other.Number))
}

// StoreChanges are the changes after a revision, in order, up to Revision.
type StoreChanges struct {
	Changes  []StoreChange
	Revision StoreRevision
}

// PrefixStore reads and watches all keys with a prefix.
type PrefixStore interface {
	// List returns the entries of all keys with the prefix and the revision from which a watch continues.
	List(ctx context.Context, prefix string) (entries []StoreEntry, revision StoreRevision, err error)
	// WatchPrefix waits at most wait for changes after a revision. If there are none, it returns none and no error.
	// It fails with ErrHistoryGone when the store no longer has the changes, or is in another era than the revision.
	WatchPrefix(ctx context.Context, prefix string, after StoreRevision, wait time.Duration) (StoreChanges, error)
}

// LeaseID identifies a lease in the store; the zero value is none. A restored store issues the numbers after its copy again, for other
// leases.
type LeaseID struct {
	Era    StoreEra
	Number uint64
}

// StoreTransaction is written atomically if all keys of Conditions have the given versions (0: absent).
type StoreTransaction struct {
	Conditions map[string]uint64
	Writes     []StoreWrite
	Removals   []string
}

// StoreWrite writes a key; with a lease, the key is removed when the lease ends.
type StoreWrite struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// LeaseStore writes keys that are removed when their lease ends.
type LeaseStore interface {
	// GrantLease returns a new lease that ends unless it is renewed within duration.
	GrantLease(ctx context.Context, duration time.Duration) (LeaseID, error)
	// RenewLease fails with ErrLeaseGone when the lease has ended.
	RenewLease(ctx context.Context, lease LeaseID) error
	// EndLease ends a lease and removes its keys.
	EndLease(ctx context.Context, lease LeaseID) error
	// Commit writes a transaction and returns its revision. After ErrStoreUnavailable it may have taken effect or
	// may still do so.
	Commit(ctx context.Context, storeTransaction StoreTransaction) (revision uint64, err error)
}

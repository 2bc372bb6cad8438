// Package hosted assembles the entry VM that runs on the users' platform: all persistent state is in the platform's store,
// callers ask a directory for VMs, and routes come from the configuration in the store.
package hosted

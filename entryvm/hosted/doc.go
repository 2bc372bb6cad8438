// Package hosted joins the parts of an entry VM that runs on the users' platform: all that lasts is in the platform's
// store, callers ask a directory for VMs, and routes come from the configuration in the store.
package hosted

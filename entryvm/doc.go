// Package entryvm puts the libraries together into an entry VM: it reads checked settings, starts the parts
// in order, serves callers, peers and operators, and stops gracefully.
package entryvm

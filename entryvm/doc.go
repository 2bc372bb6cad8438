// Package entryvm assembles the libraries into an entry VM: it reads and checks settings, starts the components in
// order, serves callers, peers and operators, and stops gracefully.
package entryvm

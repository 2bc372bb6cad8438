// Package caller is the library with which callers send requests through entry VMs. It is the reference for
// libraries in other languages.
package caller

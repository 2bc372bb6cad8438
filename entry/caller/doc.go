// Package caller is the client library that callers use to send requests through entry VMs. It is the reference
// implementation for libraries in other languages.
package caller

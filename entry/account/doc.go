// Package account accounts for the memory and the descriptors that the connections and requests of untrusted callers take, and decides
// which of them are refused or closed first.
package account

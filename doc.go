// Package oleandervane defines the interfaces of the replaceable parts of the traffic steering system and the
// immutable types that its libraries share. Implementations are in the packages and modules below it.
package oleandervane

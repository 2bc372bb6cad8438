// Package oleandervane holds the interfaces of what varies in the traffic steering system and the
// immutable values that its libraries share. Implementations are in the packages and modules below it.
package oleandervane

// Package bodymemory bounds the memory that the request bodies of a VM take.
package bodymemory

// Package admission decides whether a request may start on this entry VM, and in what order: a concurrency limit and
// a bounded queue for each service, with shedding by weight and by deadline.
package admission

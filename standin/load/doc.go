// Package load is an open-loop load generator: it sends requests at a given rate, without waiting for earlier responses,
// and records outcomes and latencies for each kind. The demo and load tests use it with the stand-ins.
package load

// Package load sends requests at a given rate, without waiting for earlier answers, and counts outcomes and latencies by kind. It
// drives the stand-ins in the demo and in load tests.
package load

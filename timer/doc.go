// Package timer provides the implementations of oleandervane.TimerService: System for daemons and Manual for tests.
package timer

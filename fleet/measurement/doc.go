// Package measurement decides which VM probes which backend server for its load, stores the newest load reports with
// their age and source, and aggregates them into summaries for other regions.
package measurement

// Package measurement decides which VM asks which backend server for its load, keeps the newest load values with
// their age and source, and sums them up for other regions.
package measurement

// Package flood sends floods of untrusted callers to a process of oleandervane-hosted, and observes the process.
package flood

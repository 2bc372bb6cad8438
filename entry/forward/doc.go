// Package forward sends a request to a backend server, or to an entry VM of another region, and classifies the outcome.
// It retries only requests that are idempotent or have provably not run, within a budget.
package forward

// Package forward sends a request to a backend server, or to an entry VM of another region, and classifies what
// became of it. It retries only what cannot run twice by that, within a budget.
package forward

// Package balance chooses a backend server within a region for each attempt. A Chooser holds what is known of the
// instances (slots in use, loads, cold starts, failures, leaving marks, connections) and leaves the choice among those
// that may take work to a policy: Random, RoundRobin, LeastLoaded, TwoChoices or Owned.
package balance

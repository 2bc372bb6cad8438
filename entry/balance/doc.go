// Package balance chooses a backend server within a region for each attempt. A Chooser tracks the state of the
// instances (slots in use, load, cold starts, failures, leaving marks, connections), and a policy chooses among the
// eligible ones: Random, RoundRobin, LeastLoaded, TwoChoices or Owned.
package balance

// Package backendstandin is a stand-in for a backend server of a user's service. It serves requests on a few
// slots, reports its load, drains, starts cold, sheds, and has switches for the faults that the system has to
// withstand. It counts the runs of each request in a journal, so that a test can prove that no request ran twice.
package backendstandin

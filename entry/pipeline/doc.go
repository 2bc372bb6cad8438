// Package pipeline serves the requests that a caller sends on one connection without waiting for answers side by side.
//
// The HTTP server of the standard library reads a request only after the answer to the one before. A Reader sees the bytes
// of callers' connections on their way to that server and begins requests that stand behind another one early; the server
// stays in charge of the connection and delivers the answers in order when their turn comes. Only requests that may run
// more than once begin early, so that one which is never delivered does no harm.
package pipeline

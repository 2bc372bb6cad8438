// Package pipeline serves pipelined requests concurrently: requests that a caller sends on one connection without
// waiting for the responses.
//
// The HTTP server of the standard library reads a request only after the response to the previous one. A Dispatcher
// sees the bytes of callers' connections on their way to that server and starts requests that are queued behind another
// one early; the server still manages the connection and sends the responses in order. Only idempotent requests start
// early, so that a request whose response is never sent does no harm.
package pipeline

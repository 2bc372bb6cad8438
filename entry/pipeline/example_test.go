package pipeline_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"oleandervane.example/entry/pipeline"
)

// barrier is a handler whose requests end only when two of them run.
type barrier struct {
	both sync.WaitGroup
}

func (barrier *barrier) Idempotent(*http.Request) bool { return true }

func (barrier *barrier) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	barrier.both.Done()
	barrier.both.Wait()
	_, _ = io.WriteString(writer, request.URL.Path)
}

// A server reads ahead when its handler, listener and ConnContext are those of a Dispatcher. Here the first request
// would never end if the second did not start before its turn.
func ExampleDispatcher() {
	handler := &barrier{}
	handler.both.Add(2)
	dispatcher := pipeline.NewDispatcher(handler, pipeline.DefaultMaxAhead)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	server := &http.Server{Handler: dispatcher, ConnContext: pipeline.ConnContext}
	go func() { _ = server.Serve(dispatcher.WrapListener(listener)) }()
	defer server.Close()

	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		fmt.Println(err)
		return
	}
	defer conn.Close()
	for _, path := range []string{"/first", "/second"} {
		_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\n\r\n", path)
	}
	responses := bufio.NewReader(conn)
	for range 2 {
		response, err := http.ReadResponse(responses, nil)
		if err != nil {
			fmt.Println(err)
			return
		}
		body, _ := io.ReadAll(response.Body)
		fmt.Println(string(body))
	}
	// Output:
	// /first
	// /second
}

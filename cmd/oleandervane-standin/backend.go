package main

import (
	"net/http"
	"os"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"oleandervane.example"
	"oleandervane.example/standin/backendstandin"
	"oleandervane.example/timer"
)

// crashStatus is the exit status of a backend server that crashed because of a request.
const crashStatus = 70

type backendCommand struct {
	ID             string        `long:"id" required:"true" description:"id of the backend server"`
	Address        string        `long:"address" required:"true" description:"address to listen on, IP and port"`
	Slots          int           `long:"slots" default:"3" description:"requests that run concurrently"`
	Queue          int           `long:"queue" default:"3" description:"requests that may wait for a slot"`
	ServiceTime    time.Duration `long:"service-time" default:"20ms" description:"mean time that a request occupies a slot"`
	ProbeTime      time.Duration `long:"probe-time" default:"0s" description:"time that a load request occupies a slot"`
	MaxConnections int           `long:"max-connections" default:"0" description:"maximum of open connections; 0 means no limit"`
	Seed           uint64        `long:"seed" default:"1" description:"seed of the service times"`
}

// Execute runs the backend server until SIGTERM or SIGINT.
func (backendCommand *backendCommand) Execute([]string) error {
	settings := backendstandin.Settings{
		ID:             oleandervane.BackendServerID(backendCommand.ID),
		Slots:          backendCommand.Slots,
		QueueLength:    backendCommand.Queue,
		ServiceTime:    backendCommand.ServiceTime,
		ProbeTime:      backendCommand.ProbeTime,
		MaxConnections: backendCommand.MaxConnections,
		Seed:           backendCommand.Seed,
	}
	server := backendstandin.New(settings, timer.System{}, func() { os.Exit(crashStatus) })
	httpServer := newServer(backendCommand.Address, server.Handler())
	httpServer.ConnState = server.ConnState
	httpServer.ConnContext = server.ConnContext
	return serve("backend", httpServer)
}

// newServer returns a kratos HTTP server that passes every request to the handler unchanged: the kratos router would
// clean paths and redirect to the cleaned ones.
func newServer(address string, handler http.Handler) *khttp.Server {
	return khttp.NewServer(
		khttp.Address(address),
		khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler { return handler }),
	)
}

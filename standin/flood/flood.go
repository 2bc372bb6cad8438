package flood

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// duration is how long a flood lasts at least.
	duration = 4 * time.Second
	// samplePause is the time between two counts of descriptors.
	samplePause = 20 * time.Millisecond
	// concurrentDials bounds the connections that are opened at the same time, below the length of the listener's queue.
	concurrentDials = 100
	// writeBytes is the size of a write of clients that do not send in pieces.
	writeBytes = 64 << 10
)

// Flood is a named set of clients that all run at the same time.
type Flood struct {
	Name    string    `toml:"name"`
	Clients []Clients `toml:"clients"`
}

// Clients are connections that all do the same. Each sends Start, then Repeat the given number of times, then End, and stays open
// until the flood ends. In Repeat, "{n}" stands for the number of the repetition.
type Clients struct {
	Count int `toml:"count"`
	// Address is caller, directory or readiness.
	Address string `toml:"address"`
	Start   string `toml:"start"`
	Repeat  string `toml:"repeat"`
	Times   int    `toml:"times"`
	End     string `toml:"end"`
	// PieceBytes is the size of a write, PauseMilliseconds the time between two.
	PieceBytes        int `toml:"piece_bytes"`
	PauseMilliseconds int `toml:"pause_ms"`
	// ReadPerSecond is the number of bytes that are read in a second; none by default.
	ReadPerSecond int `toml:"read_per_second"`
	// Reopen says that the connection is closed after it has sent, and another one opened.
	Reopen bool `toml:"reopen"`
	// Sources is the number of loopback addresses from which the connections come; by default one.
	Sources int `toml:"sources"`
}

// Observation is what a VM showed during a flood and at its end, before the clients closed their connections.
type Observation struct {
	PeakDescriptors int
	// RequestError and ReadyError say that an ordinary request, or one for the readiness, was neither answered nor refused.
	RequestError, ReadyError   error
	RequestStatus, ReadyStatus int
}

// Run floods a VM.
func (flood Flood) Run(ctx context.Context, vm *VM) Observation {
	ctx, cancel := context.WithCancel(ctx)
	var clients sync.WaitGroup
	dials := make(chan struct{}, concurrentDials)
	for _, kind := range flood.Clients {
		for number := range kind.Count {
			clients.Go(func() { kind.run(ctx, vm, number, dials) })
		}
	}
	var observation Observation
	var exchanges sync.WaitGroup
	exchanges.Go(func() {
		time.Sleep(duration)
		observation.RequestStatus, observation.RequestError = vm.Request(ctx)
	})
	exchanges.Go(func() {
		time.Sleep(duration)
		observation.ReadyStatus, observation.ReadyError = vm.Ready(ctx)
	})
	ended := make(chan struct{})
	go func() { exchanges.Wait(); close(ended) }()
	for running := true; running; {
		observation.PeakDescriptors = max(observation.PeakDescriptors, vm.Descriptors())
		select {
		case <-ended:
			running = false
		case <-time.After(samplePause):
		}
	}
	cancel()
	clients.Wait()
	return observation
}

func (clients Clients) address(vm *VM) string {
	switch clients.Address {
	case "directory":
		return vm.Directory.String()
	case "readiness":
		return vm.Readiness.String()
	}
	return vm.Caller.String()
}

// run runs one client until the flood ends. A client whose connection is refused or closed has ended.
func (clients Clients) run(ctx context.Context, vm *VM, number int, dials chan struct{}) {
	dialer := net.Dialer{}
	if clients.Sources > 0 {
		dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 1, 0, byte(1+number%clients.Sources))}
	}
	for first := true; ctx.Err() == nil && (first || clients.Reopen); first = false {
		dials <- struct{}{}
		conn, err := dialer.DialContext(ctx, "tcp", clients.address(vm))
		<-dials
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		if clients.ReadPerSecond > 0 {
			go clients.read(conn)
		}
		if err := clients.send(ctx, conn); err == nil && !clients.Reopen {
			<-ctx.Done()
		}
		stop()
		_ = conn.Close()
	}
}

func (clients Clients) read(conn net.Conn) {
	for {
		if _, err := io.CopyN(io.Discard, conn, int64(clients.ReadPerSecond)); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}

var errEnded = errors.New("the flood has ended")

// send sends all bytes of a client.
func (clients Clients) send(ctx context.Context, conn net.Conn) error {
	waiting := []byte(clients.Start)
	size := writeBytes
	if clients.PieceBytes > 0 {
		size = clients.PieceBytes
	}
	flush := func(least int) error {
		for len(waiting) >= least && len(waiting) > 0 {
			count := min(size, len(waiting))
			if _, err := conn.Write(waiting[:count]); err != nil {
				return err
			}
			waiting = waiting[count:]
			time.Sleep(time.Duration(clients.PauseMilliseconds) * time.Millisecond)
			if ctx.Err() != nil {
				return errEnded
			}
		}
		return nil
	}
	for number := range clients.Times {
		waiting = append(waiting, strings.ReplaceAll(clients.Repeat, "{n}", strconv.Itoa(number))...)
		if err := flush(size); err != nil {
			return err
		}
	}
	waiting = append(waiting, clients.End...)
	return flush(0)
}

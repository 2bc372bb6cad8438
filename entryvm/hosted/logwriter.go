package hosted

import (
	"io"
	"sync/atomic"
)

// queuedLines bounds the log lines that wait for a slow reader of standard output; at 300 bytes each they take 1 MB.
const queuedLines = 4096

// batchLines bounds the lines that are written with one call. Without a bound, lines that come as fast as they are taken
// out of the queue would gather beside it.
const batchLines = 256

// logWriter writes log lines from a goroutine of its own, so that a full pipe never holds up a request. Lines that do
// not fit are dropped and counted.
type logWriter struct {
	output  io.Writer
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
}

func newLogWriter(output io.Writer) *logWriter {
	logWriter := &logWriter{output: output, lines: make(chan []byte, queuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go logWriter.run()
	return logWriter
}

// Write queues one line. It never blocks and never fails.
func (logWriter *logWriter) Write(line []byte) (int, error) {
	select {
	case logWriter.lines <- append([]byte(nil), line...):
	default:
		logWriter.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (logWriter *logWriter) Dropped() uint64 {
	return logWriter.dropped.Load()
}

// Close writes the lines that are queued. Lines that come later are lost.
func (logWriter *logWriter) Close() {
	close(logWriter.closing)
	<-logWriter.done
}

// run writes the lines that are queued at a time with one call, up to a bound.
func (logWriter *logWriter) run() {
	defer close(logWriter.done)
	for {
		select {
		case line := <-logWriter.lines:
			logWriter.writeQueued(line)
		case <-logWriter.closing:
			for len(logWriter.lines) > 0 {
				logWriter.writeQueued(nil)
			}
			return
		}
	}
}

func (logWriter *logWriter) writeQueued(batch []byte) {
	for count := 1; count < batchLines && len(logWriter.lines) > 0; count++ {
		batch = append(batch, <-logWriter.lines...)
	}
	// Standard output is all there is to report a failure of standard output on.
	_, _ = logWriter.output.Write(batch)
}

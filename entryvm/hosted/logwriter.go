package hosted

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines bounds the log lines that are queued for a slow reader of standard output; at 300 bytes each they take 1 MB.
const maxQueuedLines = 4096

// maxBatchLines bounds the lines that are written with one call. Without a bound, lines that arrive as fast as they are
// removed from the queue would accumulate in the batch.
const maxBatchLines = 256

// logWriter writes log lines in its own goroutine, so that a full pipe never blocks a request. Lines that do not fit in the
// queue are dropped and counted.
type logWriter struct {
	output  io.Writer
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
}

func newLogWriter(output io.Writer) *logWriter {
	logWriter := &logWriter{output: output, lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go logWriter.run()
	return logWriter
}

// Write queues one line. It never blocks or fails.
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

// Close writes the queued lines. Later lines are lost.
func (logWriter *logWriter) Close() {
	close(logWriter.closing)
	<-logWriter.done
}

// run writes the queued lines in batches of up to maxBatchLines.
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
	for count := 1; count < maxBatchLines && len(logWriter.lines) > 0; count++ {
		batch = append(batch, <-logWriter.lines...)
	}
	// A failure of standard output cannot be reported: there is no other output.
	_, _ = logWriter.output.Write(batch)
}

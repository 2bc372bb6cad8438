package installation

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, each line with the time since the start.
type Record struct {
	mutex     sync.Mutex
	startedAt time.Time
	file      *os.File
}

// NewRecord creates a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{startedAt: time.Now(), file: file}, nil
}

// Add adds a line.
func (record *Record) Add(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%8.3f %s\n", time.Since(record.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

// Say adds a line and prints it.
func (record *Record) Say(format string, values ...any) {
	record.Add(format, values...)
	fmt.Fprintf(io.Writer(os.Stdout), "%8.3f %s\n", time.Since(record.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

// Close ends the record.
func (record *Record) Close() error {
	return record.file.Close()
}

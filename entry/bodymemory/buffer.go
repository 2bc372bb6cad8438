package bodymemory

import (
	"cmp"
	"errors"
	"io"
	"runtime"
)

// firstBytes and largeStepBytes are sizes of the buffer of a body of unknown length while it grows.
const (
	firstBytes     = 4 << 10
	largeStepBytes = 1 << 20
)

// ErrNoRoom is the error of reading a body of unknown length that outgrows the budget.
var ErrNoRoom = errors.New("the budget has no room for the request body")

// Buffer is the memory of one body. It must be released.
type Buffer struct {
	budget *Budget
	bytes  int64
	data   []byte
	// slot is nil for a small body.
	slot *slot
}

// allocate allocates the memory.
func (buffer *Buffer) allocate() *Buffer {
	buffer.data = make([]byte, buffer.bytes)
	if buffer.slot != nil {
		runtime.AddCleanup(&buffer.data[0], buffer.budget.free, buffer.bytes)
	}
	return buffer
}

// Release says that the body is no longer needed. The memory is freed when nothing refers to it.
func (buffer *Buffer) Release() {
	buffer.data = nil
	buffer.budget.release(buffer)
}

// Fill reads a body of the size of the buffer.
func (buffer *Buffer) Fill(reader io.Reader) ([]byte, error) {
	_, err := io.ReadFull(reader, buffer.data)
	return buffer.data, err
}

// MaxReadAllBytes returns the memory that ReadAll takes at most while it reads a body.
func MaxReadAllBytes(limit int64) int64 {
	return limit + largeStepBytes
}

// ReadAll reads a body of unknown length, of at most limit bytes. It returns the buffer that holds it. It fails with ErrNoRoom when the
// body outgrows the budget.
func (budget *Budget) ReadAll(reader io.Reader, limit int64) (buffer *Buffer, body []byte, err error) {
	buffer = &Buffer{budget: budget}
	for _, bytes := range []int64{firstBytes, SmallBytes, largeStepBytes, limit} {
		larger := budget.Acquire(min(bytes, limit))
		if larger == nil {
			buffer.Release()
			return nil, nil, ErrNoRoom
		}
		length := copy(larger.data, body)
		buffer.Release()
		buffer = larger
		var count int
		count, err = readFull(reader, buffer.data[length:])
		body = buffer.data[:length+count]
		if err != nil {
			break
		}
	}
	if err == nil {
		_, err = readFull(reader, make([]byte, 1))
	}
	if errors.Is(err, io.EOF) {
		return buffer, body, nil
	}
	buffer.Release()
	return nil, nil, cmp.Or(err, io.ErrShortBuffer)
}

// readFull reads until the memory is full. Unlike io.ReadFull it returns the reader's own error, by which a body that was cut off
// differs from one that is complete.
func readFull(reader io.Reader, memory []byte) (length int, err error) {
	for length < len(memory) && err == nil {
		var count int
		count, err = reader.Read(memory[length:])
		length += count
	}
	return length, err
}

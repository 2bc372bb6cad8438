package forward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// Response is the response of a target. Body has the complete body of a small response; of a larger one it has the
// beginning, and the rest is read from the connection while it is forwarded.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// rest is nil when Body is the complete body.
	rest   io.Reader
	finish func(err error)
	// release says that Body is not needed any more; nil if nothing was reserved for it.
	release func()
}

// Streamed reports whether Body is only the beginning of the body.
func (response *Response) Streamed() bool {
	return response.rest != nil
}

// Send writes the response to a caller and closes it. When it fails with ErrTruncated, the handler must record the
// outcome as unknown and then panic with http.ErrAbortHandler, so that the caller sees a broken connection and never a
// truncated response that looks complete.
func (response *Response) Send(writer http.ResponseWriter) error {
	defer response.Close()
	header := writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	writer.WriteHeader(response.Status)
	_, err := io.Copy(writer, response.Reader())
	if err != nil {
		return fmt.Errorf("sending the response: %w", err)
	}
	return nil
}

// Reader returns a reader of the complete body. It fails with ErrTruncated when the target cuts the body off.
func (response *Response) Reader() io.Reader {
	beginning := bytes.NewReader(response.Body)
	if response.rest == nil {
		return beginning
	}
	return io.MultiReader(beginning, response.rest)
}

// Buffer reads the rest of a streamed body, so that Body is complete. It fails with ErrTruncated when the target cuts
// the body off, and with ErrTooLong when the body is longer than limit bytes.
func (response *Response) Buffer(limit int) error {
	if response.rest == nil {
		return nil
	}
	rest, err := io.ReadAll(io.LimitReader(response.rest, int64(limit-len(response.Body))+1))
	if err != nil {
		return fmt.Errorf("reading the response: %w", err)
	}
	if len(response.Body)+len(rest) > limit {
		return ErrTooLong
	}
	response.Body, response.rest = append(response.Body, rest...), nil
	return nil
}

// Close releases the connection and the reservation. A streamed response that was not read to its end is cancelled at
// the target. Later calls have no effect.
func (response *Response) Close() {
	if response.release != nil {
		response.release()
	}
	if response.finish != nil {
		response.finish(errClosedEarly)
	}
}

var errClosedEarly = errors.New("the response was closed before its end")

// stream reads the rest of a body and finishes the attempt at its end.
type stream struct {
	body io.Reader
	// left is the number of bytes that may still be read.
	left   int64
	finish func(err error)
}

func (stream *stream) Read(buffer []byte) (int, error) {
	count, err := stream.body.Read(buffer)
	if int64(count) > stream.left {
		count, err = int(stream.left), ErrTooLong
	}
	stream.left -= int64(count)
	if err == io.EOF {
		stream.finish(nil)
		return count, io.EOF
	}
	if err != nil {
		err = fmt.Errorf("%w: %w", ErrTruncated, err)
		stream.finish(err)
	}
	return count, err
}

// readBeginning reads up to limit bytes and reports whether that is the whole body.
func readBeginning(body io.Reader, limit int) (beginning []byte, whole bool, err error) {
	beginning, err = io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return beginning, len(beginning) <= limit, nil
}

// framed reports whether the end of the body is marked by a length or a last chunk. Otherwise the end of the connection
// ends the body, and a truncated body cannot be detected.
func framed(response *http.Response) bool {
	if response.ContentLength >= 0 {
		return true
	}
	return len(response.TransferEncoding) == 1 && response.TransferEncoding[0] == "chunked"
}

// onceWith returns a function that calls finish with the argument of its first call only.
func onceWith(finish func(err error)) func(err error) {
	var once sync.Once
	return func(err error) {
		once.Do(func() { finish(err) })
	}
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"oleandervane.example/testbed/installation"
)

const (
	lateUploads = 4
	// lateUploadTime is how long a caller takes to send an upload, and lateStop when the VM gets SIGTERM meanwhile.
	lateUploadTime = 5500 * time.Millisecond
	lateStop       = time.Second
	// The pieces of all uploads together fill a link of 10 Mbit/s for that time.
	latePieces     = 11
	latePieceBytes = 160 << 10
)

// playLateUploads stops a VM while callers send uploads, which are complete only late in the grace.
func playLateUploads(started *installation.Installation, disrupted bool) (broken []string, err error) {
	record, arrivals := started.Record, &installation.Arrivals{}
	servers, err := startServers(started, arrivals, "ledger", "i", 3)
	if err != nil {
		return nil, err
	}
	for _, server := range servers {
		server.RunTime = uploadTime
	}
	if err := prepareRoute(started, servers, 1, installation.Route("upload", "/upload/", "upload", "ledger", uploadLimit)); err != nil {
		return nil, err
	}
	callers := installation.NewCallers(record)
	var pending sync.WaitGroup
	for i := range lateUploads {
		pending.Go(func() {
			callers.SendBody(started.VMs[0], http.MethodPost, fmt.Sprintf("/upload/%d", i), &slowBody{pieces: latePieces, pause: lateUploadTime / latePieces}, latePieces*latePieceBytes, uploadLimit)
		})
	}
	time.Sleep(lateStop)
	if disrupted {
		record.Say("%s gets SIGTERM while %d uploads are being sent", started.VMs[0].ID, lateUploads)
		started.VMs[0].Signal(syscall.SIGTERM)
	}
	pending.Wait()
	ran := map[string]bool{}
	for _, arrival := range arrivals.All() {
		ran[arrival.RequestID] = arrival.Ran
	}
	for _, sent := range callers.All() {
		record.Say("%s: status %d, signed %t, run %t, %.1f s after its beginning", sent.RequestID, sent.Status, sent.Signed, ran[sent.RequestID], sent.AnsweredAt.Sub(sent.At).Seconds())
		if ran[sent.RequestID] && !(sent.Status == http.StatusOK && sent.Signed) {
			broken = append(broken, fmt.Sprintf("LOST: %s was passed on late in the grace, broken off and answered with %d", sent.RequestID, sent.Status))
		}
	}
	return broken, nil
}

// slowBody is a body of pieces with a pause before each.
type slowBody struct {
	pieces int
	pause  time.Duration
	piece  io.Reader
}

// Read reads the next bytes.
func (slowBody *slowBody) Read(buffer []byte) (int, error) {
	if slowBody.piece != nil {
		if count, err := slowBody.piece.Read(buffer); err == nil {
			return count, nil
		}
	}
	if slowBody.pieces == 0 {
		return 0, io.EOF
	}
	slowBody.pieces--
	time.Sleep(slowBody.pause)
	slowBody.piece = strings.NewReader(strings.Repeat("evidence", latePieceBytes/len("evidence")))
	return slowBody.piece.Read(buffer)
}

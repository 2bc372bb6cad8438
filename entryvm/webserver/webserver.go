// Package webserver has the HTTP servers of entry VMs and their log.
package webserver

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"

	klog "github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/sirupsen/logrus"
)

// New returns a kratos HTTP server that passes every request unchanged to the handler: the kratos router would redirect
// paths that it cleans, and its timeout would abort long requests.
func New(address string, handler http.Handler) *khttp.Server {
	return khttp.NewServer(
		khttp.Address(address),
		khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler { return handler }),
	)
}

// NewOnListener returns the same server as New, but on an open listener.
func NewOnListener(listener net.Listener, handler http.Handler) *khttp.Server {
	// Without the address, kratos looks for one among the interfaces of the machine, which it may not be allowed to
	// list.
	server := New(listener.Addr().String(), handler)
	khttp.Listener(listener)(server)
	return server
}

// Logger returns a kratos logger that writes to entry.
func Logger(entry *logrus.Entry) klog.Logger {
	return kratosLogger{entry: entry}
}

// FieldPart is the log field for the component of the program that wrote a log line.
const FieldPart = "part"

// kratosLogger writes the log lines of kratos to logrus.
type kratosLogger struct {
	entry *logrus.Entry
}

// Log writes one line; keyValues alternate between keys and values.
func (kratosLogger kratosLogger) Log(level klog.Level, keyValues ...any) error {
	fields := logrus.Fields{FieldPart: "kratos"}
	message := ""
	for i := 0; i+1 < len(keyValues); i += 2 {
		key, isString := keyValues[i].(string)
		if !isString {
			continue
		}
		if key == klog.DefaultMessageKey {
			message, _ = keyValues[i+1].(string)
			continue
		}
		fields[key] = keyValues[i+1]
	}
	kratosLogger.entry.WithFields(fields).Log(logrusLevel(level), message)
	return nil
}

// maxLibraryLineBytes bounds a log line of a library, which may quote data from a peer.
const maxLibraryLineBytes = 300

// LibraryLogWriter returns a writer for the standard logger that logs each line of a library.
func LibraryLogWriter(entry *logrus.Entry) io.Writer {
	return libraryLogWriter{entry: entry}
}

type libraryLogWriter struct {
	entry *logrus.Entry
}

// Write logs one line. It never fails.
func (libraryLogWriter libraryLogWriter) Write(line []byte) (int, error) {
	text := strings.ToValidUTF8(string(bytes.TrimSpace(line[:min(len(line), maxLibraryLineBytes)])), "?")
	libraryLogWriter.entry.WithField(FieldPart, "library").Warn(text)
	return len(line), nil
}

// logrusLevel maps levels of kratos to levels of logrus. Info becomes debug, because the lines of kratos about starting
// and stopping servers are of interest only to developers.
func logrusLevel(level klog.Level) logrus.Level {
	switch level {
	case klog.LevelError, klog.LevelFatal:
		return logrus.ErrorLevel
	case klog.LevelWarn:
		return logrus.WarnLevel
	}
	return logrus.DebugLevel
}

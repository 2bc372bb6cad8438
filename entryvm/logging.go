package entryvm

import (
	"io"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/sirupsen/logrus"
)

// Names of the fields in log lines. They stay the same between releases.
const (
	FieldVM            = "vm"
	FieldIncarnation   = "incarnation"
	FieldRegion        = "region"
	FieldFailureDomain = "failure_domain"
	FieldPart          = "part"
	FieldRevision      = "revision"
	FieldService       = "service"
	FieldKind          = "kind"
	FieldOutcome       = "outcome"
	FieldReason        = "reason"
	FieldDrain         = "drain"
)

// NewLogger returns a logger for the settings that writes to output.
func NewLogger(settings Settings, output io.Writer) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(output)
	if settings.LogFormat == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	level, err := logrus.ParseLevel(settings.LogLevel)
	if err != nil {
		level = logrus.InfoLevel
	}
	logger.SetLevel(level)
	return logger
}

// kratosLogger passes log lines of kratos to logrus.
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

// logrusLevel maps the levels of kratos one step down, because its lines about starting and stopping
// servers are of interest only to developers.
func logrusLevel(level klog.Level) logrus.Level {
	switch level {
	case klog.LevelError, klog.LevelFatal:
		return logrus.ErrorLevel
	case klog.LevelWarn:
		return logrus.WarnLevel
	}
	return logrus.DebugLevel
}

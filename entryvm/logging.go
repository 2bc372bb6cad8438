package entryvm

import (
	"io"

	"github.com/sirupsen/logrus"

	"oleandervane.example/entryvm/webserver"
)

// Names of the fields in log lines. They stay the same between releases.
const (
	FieldVM            = "vm"
	FieldIncarnation   = "incarnation"
	FieldRegion        = "region"
	FieldFailureDomain = "failure_domain"
	FieldPart          = webserver.FieldPart
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

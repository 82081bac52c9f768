package loader

import (
	"os"
	"path/filepath"

	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger that writes JSON lines to standard error.
func NewLogger(settings *Settings) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(os.Stderr)
	logger.SetFormatter(&logrus.JSONFormatter{})
	level, err := logrus.ParseLevel(settings.LogLevel)
	if err != nil {
		level = logrus.InfoLevel
	}
	logger.SetLevel(level)
	logger.AddHook(&originHook{settings: settings, program: filepath.Base(os.Args[0])})
	return logger
}

// originHook adds the VM, the availability zone and the program to each log entry.
type originHook struct {
	settings *Settings
	program  string
}

// Levels returns all levels.
func (h *originHook) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire adds the fields.
func (h *originHook) Fire(entry *logrus.Entry) error {
	entry.Data["vm"] = h.settings.VM
	entry.Data["zone"] = h.settings.Zone
	entry.Data["program"] = h.program
	return nil
}

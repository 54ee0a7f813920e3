package kqlog

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// JSON is the format of one JSON object a line.
const JSON = "json"

type (
	// Logger makes parts' loggers that share one output.
	Logger struct {
		base *logrus.Logger
		node string
	}

	prefixed struct {
		next logrus.Formatter
	}
)

// New returns a logger that writes to w at the given level ("debug" to
// "error"), as "text" or JSON.
func New(w io.Writer, level, format string) (*Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("set log level: %w", err)
	}
	base := logrus.New()
	base.SetOutput(w)
	base.SetLevel(parsed)
	base.SetFormatter(prefixed{next: &logrus.TextFormatter{FullTimestamp: true, DisableColors: true}})
	if format == JSON {
		base.SetFormatter(prefixed{next: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}})
	}
	return &Logger{base: base}, nil
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	base := logrus.New()
	base.SetOutput(io.Discard)
	return &Logger{base: base}
}

// SetLevel changes the least severe level that is logged.
func (l *Logger) SetLevel(level string) error {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("set log level: %w", err)
	}
	l.base.SetLevel(parsed)
	return nil
}

// Part returns the logger of one part, such as "entry".
func (l *Logger) Part(name string) *logrus.Entry {
	entry := l.base.WithField("part", name)
	if l.node != "" {
		entry = entry.WithField("node", l.node)
	}
	return entry
}

// WithNode returns a logger whose lines name the node that writes them.
func (l *Logger) WithNode(name string) *Logger { return &Logger{base: l.base, node: name} }

// Format implements logrus.Formatter.
func (p prefixed) Format(e *logrus.Entry) ([]byte, error) {
	part, _ := e.Data["part"].(string)
	copied := *e
	copied.Message = part + ": " + e.Message
	line, err := p.next.Format(&copied)
	if err != nil {
		return nil, fmt.Errorf("format log line: %w", err)
	}
	return line, nil
}

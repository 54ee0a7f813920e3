package kqlog

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// JSON is the format that writes one JSON object per line.
const JSON = "json"

type (
	// Logger creates the loggers of a node's parts, which share one output.
	Logger struct {
		base *logrus.Logger
		node string
	}

	// prefixFormatter puts the name of the part before each message.
	prefixFormatter struct {
		next logrus.Formatter
	}
)

// New returns a logger that writes to w in the format "text" or JSON; level, from
// "debug" to "error", is the least severe one that is written.
func New(w io.Writer, level, format string) (*Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("set log level: %w", err)
	}
	base := logrus.New()
	base.SetOutput(w)
	base.SetLevel(parsed)
	base.SetFormatter(prefixFormatter{next: &logrus.TextFormatter{FullTimestamp: true, DisableColors: true}})
	if format == JSON {
		base.SetFormatter(prefixFormatter{next: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}})
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

// Part returns the logger of one part of a node, such as "gate". Its lines have
// the field "part" and, if the node's name is set, "node".
func (l *Logger) Part(name string) *logrus.Entry {
	entry := l.base.WithField("part", name)
	if l.node != "" {
		entry = entry.WithField("node", l.node)
	}
	return entry
}

// WithNode returns a logger whose lines have the node's name in the field "node".
func (l *Logger) WithNode(name string) *Logger { return &Logger{base: l.base, node: name} }

// Format implements logrus.Formatter.
func (p prefixFormatter) Format(e *logrus.Entry) ([]byte, error) {
	part, _ := e.Data["part"].(string)
	copied := *e
	copied.Message = part + ": " + e.Message
	line, err := p.next.Format(&copied)
	if err != nil {
		return nil, fmt.Errorf("format log line: %w", err)
	}
	return line, nil
}

package daemon

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

var logLevels = map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "error": slog.LevelError}

// NewLogger returns a logger that writes one line of key=value pairs per event, at the
// log level of a Config.
func NewLogger(w io.Writer, level string) logr.Logger {
	return logr.FromSlogHandler(slog.NewTextHandler(w, &slog.HandlerOptions{Level: logLevels[level]}))
}

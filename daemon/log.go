package daemon

import (
	"io"
	"log"
	"log/slog"
	"strings"

	"github.com/go-logr/logr"
)

var logLevels = map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "error": slog.LevelError}

// NewLogger returns a logger that writes one line of key=value pairs per event, at the
// log level of a Config.
func NewLogger(w io.Writer, level string) logr.Logger {
	return logr.FromSlogHandler(slog.NewTextHandler(w, &slog.HandlerOptions{Level: logLevels[level]}))
}

// maxLibraryText bounds what is logged of one line of a library, in bytes: net/http quotes kilobytes that an
// endpoint has sent unasked.
const maxLibraryText = 256

// LogLibraries has the lines that libraries write with the standard logger logged as events. Otherwise they go to
// the standard error output, unbounded, and the library waits if nobody reads that.
func LogLibraries(l logr.Logger) {
	log.SetFlags(0)
	log.SetOutput(libraryLog{l})
}

// libraryLog logs each line written to it as an event.
type libraryLog struct{ log logr.Logger }

// Write implements io.Writer.
func (w libraryLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line[:min(len(line), maxLibraryText)]))
	w.log.Info("library", "text", text, "bytes", len(line))
	return len(line), nil
}

package httpserver

import (
	"sync"

	"github.com/lesismal/nbio/logging"
	"github.com/rs/zerolog/log"
)

// libraryLog passes nbio's log lines to zerolog; by default nbio writes to standard output.
type libraryLog struct{}

// Debug drops the line.
func (libraryLog) Debug(string, ...any) {}

// Info drops the line.
func (libraryLog) Info(string, ...any) {}

// Warn logs the line.
func (libraryLog) Warn(format string, v ...any) {
	log.Warn().Str("event", "library").Str("library", "nbio").Msgf(format, v...)
}

// Error logs the line.
func (libraryLog) Error(format string, v ...any) {
	log.Error().Str("event", "library").Str("library", "nbio").Msgf(format, v...)
}

var setLibraryLog = sync.OnceFunc(func() { logging.SetLogger(libraryLog{}) })

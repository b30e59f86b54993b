// Package panics keeps the panic of one goroutine from ending the whole process.
//
// What goes wrong without it: Go ends a process at the first panic that nobody recovers, in
// whichever goroutine. A message of a peer that one handler does not expect, or a fault in a
// loop that runs beside the requests, then takes all requests with it that are open at this
// host: their callers see connections close without an answer, all at one moment. And as
// one bad message reaches all hosts, it takes all of them.
//
// net/http's own servers recover a handler's panic; gRPC, sync.WaitGroup.Go and time.AfterFunc do not.
//
// What the goroutine held has to be sound after the panic: it releases its locks by defer.
package panics

import (
	"expvar"
	"fmt"
	"runtime/debug"

	"github.com/rs/zerolog"
)

// recovered counts the panics of this process that were recovered here.
var recovered = expvar.NewInt("panics_recovered")

// Log recovers the panic of the goroutine that defers it, counts it and writes it to the log
// with its stack. where names the goroutine. The goroutine ends.
func Log(log zerolog.Logger, where string) {
	if p := recover(); p != nil {
		Report(log, where, p)
	}
}

// Report counts and logs a panic that its caller has recovered, in its deferred function.
func Report(log zerolog.Logger, where string, p any) {
	recovered.Add(1)
	log.Error().Str("event", "panic-recovered").Str("in", where).Str("panic", fmt.Sprint(p)).
		Str("stack", string(debug.Stack())).Send()
}

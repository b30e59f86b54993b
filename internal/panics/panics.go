// Package panics keeps the panic of one goroutine from ending the whole process.
//
// Go ends a process at the first panic that is not recovered, in whichever goroutine. An
// unexpected message from a peer, or a fault in a background loop, would end all requests of
// this host: their callers would see connections close at once without an answer. And since one
// bad message may reach all hosts, it could end all of them.
//
// The servers of net/http recover a handler's panic; gRPC, sync.WaitGroup.Go and time.AfterFunc
// do not.
//
// The state that the goroutine used must be consistent after the panic: locks must be released
// by defer.
package panics

import (
	"expvar"
	"fmt"
	"runtime/debug"

	"github.com/rs/zerolog"
)

// recovered counts the recovered panics of this process.
var recovered = expvar.NewInt("panics_recovered")

// Log must be deferred by the function that may panic. It recovers a panic, counts it and logs
// it with its stack. where names the goroutine. The deferring function then returns.
func Log(log zerolog.Logger, where string) {
	if p := recover(); p != nil {
		Report(log, where, p)
	}
}

// Report counts and logs a panic that the caller has recovered. It must be called from the
// deferred function, so that the stack shows the panic.
func Report(log zerolog.Logger, where string, p any) {
	recovered.Add(1)
	log.Error().Str("event", "panic-recovered").Str("in", where).Str("panic", fmt.Sprint(p)).
		Str("stack", string(debug.Stack())).Send()
}

package dispatch

import (
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// Guards against a call that is held responsible for a crash because its server was silent, and against one
// that is not although its server ended.
func TestSilentServerHasNotCrashed(t *testing.T) {
	timedOut := &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
	for name, c := range map[string]struct {
		err  error
		want bool
	}{
		"reset":                    {errors.Wrap(syscall.ECONNRESET, "read stream"), true},
		"end of the connection":    {io.ErrUnexpectedEOF, true},
		"reset before the answer":  {&engineclient.Error{Ran: errkind.RanUnknown, Cause: engineclient.CauseReset}, true},
		"silent before the answer": {&engineclient.Error{Ran: errkind.RanUnknown, Cause: engineclient.CauseSilent}, false},
		"silent in the answer":     {errors.Wrap(timedOut, "read stream"), false},
		"an error of the engine":   {&engineclient.Error{Ran: errkind.RanUnknown, Status: http.StatusInternalServerError}, false},
		"silent by our own check":  {errors.Wrap(errSilent, "read"), false},
	} {
		if got := crashLike(c.err); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

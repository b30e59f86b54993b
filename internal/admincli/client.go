package admincli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
)

const (
	defaultAttemptTimeout = 5 * time.Second
	dialTimeout           = 2 * time.Second
	// firstPause and maxPause bound the pause after each round through all addresses.
	firstPause = 100 * time.Millisecond
	maxPause   = 2 * time.Second
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 20
)

// call is one request to the operators' API.
type call struct {
	method string
	path   string
	// ifMatch is the header If-Match; empty if it is not sent.
	ifMatch string
	// body is sent unchanged.
	body []byte
	// opID identifies a change; empty for a read.
	opID string
}

func (c call) changes() bool { return c.opID != "" }

// client sends calls to the first address that answers.
type client struct {
	// addresses are base URLs such as "http://192.0.2.1:8081".
	addresses []string
	key       string
	http      *http.Client
	timeout   time.Duration
	// attemptTimeout bounds one attempt, so that an address that accepts connections and
	// never answers doesn't use up the whole timeout.
	attemptTimeout time.Duration
	progress       *progress
}

// attempt is the outcome of sending a call to one address.
type attempt struct {
	body []byte
	err  error
	// retry is true if another address, or the same one later, may succeed.
	retry bool
	// unknown is true if the change may have taken effect.
	unknown bool
	pause   time.Duration
}

// refusal is the error for an answer that rejects a call.
type refusal struct{ fields httpserver.ErrorFields }

func (r *refusal) Error() string {
	message := string(r.fields.Kind) + ": " + r.fields.Message
	if r.fields.Path != "" {
		message = string(r.fields.Kind) + ": " + r.fields.Path + ": " + r.fields.Message
	}
	if r.fields.PresentVersion != 0 {
		message += fmt.Sprintf(" (present version %d)", r.fields.PresentVersion)
	}
	return message
}

func isRefusal(err error) bool {
	var r *refusal
	return errors.As(err, &r)
}

// refusedAs returns the refusal in err if its kind is k.
func refusedAs(err error, k errkind.Kind) (*refusal, bool) {
	var r *refusal
	if errors.As(err, &r) && r.fields.Kind == k {
		return r, true
	}
	return nil, false
}

// do sends c until it is answered or the timeout expires, and decodes the answer into out. A
// change is always resent with the same operation id, so it is safe if it arrives twice.
func (cl *client) do(parent context.Context, c call, out any) error {
	ctx, cancel := context.WithTimeout(parent, cl.timeout)
	defer cancel()
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = firstPause, maxPause
	last := errors.New("no attempt was made")
	unknown := false
	for try := 0; ctx.Err() == nil; try++ {
		address := cl.addresses[try%len(cl.addresses)]
		a := cl.try(ctx, address, c)
		if a.err == nil {
			return decodeAnswer(a.body, out)
		}
		if !a.retry && (!unknown || decidedByGroup(a.err)) {
			return &exitError{code: exitRefused, err: a.err}
		}
		unknown = unknown || a.unknown
		if try == 0 || isRefusal(a.err) || (!isRefusal(last) && ctx.Err() == nil) {
			last = a.err // a refusal tells more than a later connection error
		}
		cl.progress.printf("%s: %v", address, a.err)
		if (try+1)%len(cl.addresses) == 0 {
			wait(ctx, max(pauses.NextBackOff(), a.pause))
		}
	}
	end := "gave up after " + cl.timeout.String()
	if parent.Err() != nil {
		end = "interrupted"
	}
	return giveUpError(end, c, last, unknown)
}

// decidedByGroup reports whether a refusal is the control group's own answer to the
// operation. After an attempt with an unknown outcome, only such a refusal proves that the
// change did not take effect. Another host may reject the key or the path without contacting
// the group.
func decidedByGroup(err error) bool {
	var r *refusal
	if !errors.As(err, &r) {
		return false
	}
	switch r.fields.Kind {
	case errkind.VersionConflict, errkind.InvalidSettings, errkind.AlreadyExists, errkind.NotFound, errkind.KeyConflict:
		return true
	}
	return false
}

// giveUpError returns the error after the last attempt. It states whether the outcome is known.
func giveUpError(end string, c call, last error, unknown bool) error {
	switch {
	case unknown:
		end = fmt.Sprintf("%s; the outcome is unknown, the change may have taken effect; "+
			"to learn it, send the same command again with --op-id %s", end, c.opID)
	case c.changes():
		end += "; nothing was changed"
	}
	return &exitError{code: exitUnreachable, err: errors.Errorf("%s (last: %v)", end, last)}
}

// try sends c to one address.
func (cl *client) try(ctx context.Context, address string, c call) attempt {
	ctx, cancel := context.WithTimeout(ctx, cl.attemptTimeout)
	defer cancel()
	defer cl.progress.wait(address)()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), c.method, address+c.path, bytes.NewReader(c.body))
	if err != nil {
		return attempt{err: err}
	}
	cl.setHeader(r, c)
	res, err := cl.http.Do(r)
	if err != nil {
		return attempt{err: errors.New(plainError(err)), retry: true, unknown: connected && c.changes()}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return attempt{err: errors.Wrap(err, "read the response"), retry: true, unknown: c.changes()}
	}
	if res.StatusCode == http.StatusOK {
		return attempt{body: body}
	}
	return classifyResponse(res.StatusCode, body, c.changes())
}

func (cl *client) setHeader(r *http.Request, c call) {
	r.Header.Set("Authorization", "Bearer "+cl.key)
	if c.ifMatch != "" {
		r.Header.Set("If-Match", c.ifMatch)
	}
	if c.changes() {
		r.Header.Set("Idempotency-Key", c.opID)
	}
	if len(c.body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
}

// classifyResponse classifies a response other than 200: whether to try again, and whether a
// change may have taken effect.
func classifyResponse(status int, body []byte, changes bool) attempt {
	var answer httpserver.ErrorAnswer
	if err := json.Unmarshal(body, &answer); err != nil || answer.Error.Kind == "" {
		return attempt{err: errors.Errorf("status %d without a valid error body", status), retry: true, unknown: changes}
	}
	f := answer.Error
	a := attempt{err: &refusal{f}, pause: time.Duration(f.RetryAfterMs) * time.Millisecond}
	a.unknown = changes && f.Ran != errkind.RanNo
	a.retry = a.unknown || f.Retry == errkind.RetryElsewhere || f.Retry == errkind.RetryAfter || f.Kind == errkind.NoQuorum
	return a
}

func decodeAnswer(body []byte, out any) error {
	if err := json.Unmarshal(body, out); err != nil {
		return &exitError{code: exitUnreachable, err: errors.Wrap(err, "decode the response")}
	}
	return nil
}

// plainError returns the text of an error of net/http without the method and the URL.
func plainError(err error) string {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err.Error()
	}
	return err.Error()
}

// wait sleeps for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// newHTTPClient returns a client that uses no proxy and follows no redirects, because either
// would send the operator's key to another machine.
func newHTTPClient(transport *http.Transport) *http.Client {
	transport.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

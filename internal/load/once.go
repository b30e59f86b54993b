package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"
)

// onceCommand sends one streamed chat and prints the answer as it arrives.
func onceCommand(ctx context.Context, c *cli.Command, out io.Writer) error {
	o, err := optionsOf(c)
	if err != nil {
		return err
	}
	o.Count = 1
	if err := o.check(); err != nil {
		return err
	}
	o.Earlier = c.StringSlice("earlier")
	r := o.requestOf(0)
	r.setPrompt(&o, c.String("prompt"))
	if c.IsSet("idempotency-key") {
		r.key = c.String("idempotency-key")
	}
	client := newClient(&o)
	defer client.CloseIdleConnections()
	caller := newCaller(&o, client)
	caller.sender.onText = func(s string) { fmt.Fprint(out, s) }
	res := caller.call(ctx, r, time.Now())
	return printOnce(out, res)
}

// printOnce prints the outcome of the request.
func printOnce(out io.Writer, res result) error {
	a := res.last
	switch res.outcome {
	case refused:
		f := a.refusal
		fmt.Fprintf(out, "refused: %s, status %d, ran: %s, come back in %v\n", f.Kind, f.Status, f.Ran, f.RetryAfter)
		fmt.Fprintf(out, "message: %s\nrequest id: %s\n", f.Message, a.requestID)
		return exitStatus(exitRefused)
	case wrong, lost:
		fmt.Fprintf(out, "\nno whole answer: %s\nrequest id: %s\n", res.fault, a.requestID)
		return exitStatus(exitWrongOrLost)
	}
	word := "in time"
	if res.outcome == late {
		word = "late"
	}
	fmt.Fprintf(out, "\nwhole answer %s: %d prompt tokens, %d output tokens, first token after %d ms, all after %d ms, %d tries\n",
		word, a.prompt, a.output, res.firstToken.Milliseconds(), res.total.Milliseconds(), res.attempts)
	fmt.Fprintf(out, "request id: %s\n", a.requestID)
	return nil
}

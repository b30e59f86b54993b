package placement

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/placement"
)

const (
	ordersPath = "/orders"
	// maxAnswerBytes is the number of bytes of an answer that are read, for the log.
	maxAnswerBytes = 1 << 10
)

// orderBody is the body of an order to a backend server.
type orderBody struct {
	Verb    placement.Verb `json:"verb"`
	Model   string         `json:"model,omitempty"`
	Adapter string         `json:"adapter,omitempty"`
	Role    string         `json:"role,omitempty"`
	Fence   uint64         `json:"fence"`
}

func (c *Controller) command(o placement.Order) *pb.Command {
	return &pb.Command{
		// The term makes the id unique among leaders, the order's id within the term.
		OpId:  fmt.Sprintf("place-%s-%d-%d", c.cfg.Actor, o.Term, o.ID),
		Actor: c.cfg.Actor,
		Body: &pb.Command_PlaceOrder{PlaceOrder: &pb.PlaceOrder{
			Server: o.Server, Verb: string(o.Verb), Object: o.Object(), Role: o.Role, Term: o.Term,
		}},
	}
}

// send posts the order to its server. The result is Unknown if an error occurs after the
// request may have been sent.
func (c *Controller) send(ctx context.Context, o placement.Order, fence uint64) (placement.Result, error) {
	body, err := json.Marshal(orderBody{Verb: o.Verb, Model: o.Model, Adapter: o.Adapter, Role: o.Role, Fence: fence})
	if err != nil {
		return placement.NotSent, errors.Wrap(err, "marshal order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Server+ordersPath, bytes.NewReader(body))
	if err != nil {
		return placement.NotSent, errors.Wrap(err, "order request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.cfg.Client.Do(req)
	if err != nil {
		return placement.Unknown, errors.Wrap(err, "send order")
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return resultOf(resp.StatusCode, string(answer))
}

func resultOf(status int, answer string) (placement.Result, error) {
	switch {
	case status >= 200 && status < 300:
		return placement.Accepted, nil
	case status == http.StatusConflict:
		return placement.Refused, errkind.New(errkind.StaleFence, "server: %s", answer)
	case status >= 400 && status < 500:
		return placement.Refused, errkind.New(errkind.BadRequest, "server answered %d: %s", status, answer)
	default:
		return placement.Unknown, errkind.New(errkind.BackendServerFailed, "server answered %d: %s", status, answer)
	}
}

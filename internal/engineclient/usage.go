package engineclient

import (
	"context"
	"encoding/json"
	"math"
)

// pastTheEnd is a token number that no run reaches: a stream read from there gives
// only what comes after the last token.
const pastTheEnd = math.MaxInt32

// FinalUsage asks the engine what a finished run used. It returns nil for a run that
// is not finished when ctx ends, that the engine no longer knows or whose usage it
// does not say. The run itself is left as it is.
func (c *Client) FinalUsage(ctx context.Context, address, engineRequestID string) *Usage {
	stream, err := c.Resume(ctx, address, engineRequestID, pastTheEnd)
	if err != nil {
		return nil
	}
	defer stream.Close()
	for {
		ev, err := stream.Next()
		if err != nil {
			return nil
		}
		var chunk struct {
			Usage *Usage `json:"usage"`
		}
		if json.Unmarshal(ev.Data, &chunk) == nil && chunk.Usage != nil {
			return chunk.Usage
		}
	}
}

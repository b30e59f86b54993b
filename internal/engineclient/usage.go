package engineclient

import (
	"context"
	"encoding/json"
	"math"
)

// pastTheEnd is a token number that no run reaches: a stream resumed from there contains only
// what follows the last token.
const pastTheEnd = math.MaxInt32

// FinalUsage asks the engine for the usage of a finished run. It returns nil if the run has
// not finished when ctx ends, the engine no longer knows the run or does not report its usage.
// The run itself is not affected.
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

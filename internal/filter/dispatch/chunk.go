package dispatch

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
)

const (
	doneData   = "[DONE]"
	errorEvent = "error"
)

// chunk is what the router itself reads of a stream's event.
type chunk struct {
	Choices []choice            `json:"choices"`
	Usage   *engineclient.Usage `json:"usage"`
	Error   json.RawMessage     `json:"error"`
}

type choice struct {
	Delta        delta  `json:"delta"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

type delta struct {
	Content          string          `json:"content"`
	ReasoningContent string          `json:"reasoning_content"`
	ToolCalls        json.RawMessage `json:"tool_calls"`
}

func decodeChunk(raw []byte) (*chunk, error) {
	var ch chunk
	if err := json.Unmarshal(raw, &ch); err != nil {
		return nil, errors.Wrap(errEngine, "event is no chunk")
	}
	if len(ch.Error) > 0 && string(ch.Error) != "null" {
		return nil, errors.Wrap(errEngine, string(ch.Error))
	}
	return &ch, nil
}

// text is what the chunk adds to the answer.
func (ch *chunk) text() string {
	if len(ch.Choices) == 0 {
		return ""
	}
	c := &ch.Choices[0]
	return c.Delta.Content + c.Text + c.Delta.ReasoningContent + string(c.Delta.ToolCalls)
}

// isToken: engines send one token per event; one that sends more is still held to
// its cap by the usage it reports.
func (ch *chunk) isToken() bool { return ch.text() != "" }

func (ch *chunk) finishes() bool {
	return len(ch.Choices) > 0 && ch.Choices[0].FinishReason != ""
}

// stopped tells that the run was ended from outside, so that its answer is not whole.
//
// What goes wrong without it: a host that another one took for dead gives its call up
// and cancels the run; the other host, which reads the same run, takes its end for
// the answer's.
func (ch *chunk) stopped() bool {
	if len(ch.Choices) == 0 {
		return false
	}
	switch ch.Choices[0].FinishReason {
	case "cancelled", "abort", "error":
		return true
	}
	return false
}

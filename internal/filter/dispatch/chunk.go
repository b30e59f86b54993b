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

// chunk contains the fields of a stream's event that the router itself reads.
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
		return nil, errors.Wrap(errEngine, "the event is not a chunk")
	}
	if len(ch.Error) > 0 && string(ch.Error) != "null" {
		return nil, errors.Wrap(errEngine, string(ch.Error))
	}
	return &ch, nil
}

// text returns the text that the chunk adds to the answer.
func (ch *chunk) text() string {
	if len(ch.Choices) == 0 {
		return ""
	}
	c := &ch.Choices[0]
	return c.Delta.Content + c.Text + c.Delta.ReasoningContent + string(c.Delta.ToolCalls)
}

// isToken reports whether the chunk carries a token. Engines send one token per event; one that
// sends more is still held to its cap by the usage it reports.
func (ch *chunk) isToken() bool { return ch.text() != "" }

func (ch *chunk) finishes() bool {
	return len(ch.Choices) > 0 && ch.Choices[0].FinishReason != ""
}

// stoppedExternally reports whether the run was stopped from outside, so that its answer is
// incomplete.
//
// Such a stop occurs if a host that was wrongly considered dead gives up its call and cancels the
// run. Without this check the host that took over the call, and reads the same run, would take the
// end of the run for the end of the answer.
func (ch *chunk) stoppedExternally() bool {
	if len(ch.Choices) == 0 {
		return false
	}
	switch ch.Choices[0].FinishReason {
	case "cancelled", "abort", "error":
		return true
	}
	return false
}

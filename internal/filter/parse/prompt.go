package parse

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// Prefix blocks of a prompt.
const (
	// BlockBytes is the length of one block, about 128 tokens of text.
	BlockBytes = 512
	// MaxBlocks bounds the number of hashes of one prompt.
	MaxBlocks = 64
)

// MaxSharedParts bounds the number of messages of one prompt that are known by hashes of their own.
const MaxSharedParts = 64

type prompt struct {
	messages int
	// shared are the hashes of the messages that other prompts may share: the first MaxSharedParts, without
	// the last message.
	shared []uint64
	// text is what engines see, in the same order: the role and content of each message.
	text []byte
}

// prompt parses the messages or the prompt, depending on the path.
func (req fields) prompt(path string) (prompt, error) {
	if path == PathChat {
		return req.chatPrompt()
	}
	return req.plainPrompt()
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func (req fields) chatPrompt() (prompt, error) {
	var list []message
	if json.Unmarshal(req["messages"], &list) != nil || len(list) == 0 {
		return prompt{}, errkind.New(errkind.BadRequest, "field \"messages\" is not a list of messages")
	}
	if len(list) > maxMessages {
		return prompt{}, errkind.New(errkind.BadRequest, "more than %d messages", maxMessages)
	}
	p := prompt{messages: len(list)}
	for i, m := range list {
		begin := len(p.text)
		if err := textOnly(m.Content); err != nil {
			return prompt{}, errkind.New(errkind.BadRequest, "message %d: %v", i, err.Message)
		}
		p.text = append(p.text, m.Role...)
		p.text = append(p.text, 0)
		p.text = append(p.text, m.Content...)
		p.text = append(p.text, 0)
		if i < min(len(list)-1, MaxSharedParts) {
			p.shared = append(p.shared, xxhash.Sum64(p.text[begin:]))
		}
	}
	return p, nil
}

// textOnly rejects content other than text: nothing in the body bounds the number of tokens of,
// say, an image behind a link.
func textOnly(content json.RawMessage) *errkind.Error {
	if len(content) == 0 || isNull(content) || content[0] == '"' {
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
	}
	if json.Unmarshal(content, &parts) != nil {
		return errkind.New(errkind.BadRequest, "content is neither text nor a list of parts")
	}
	for _, part := range parts {
		if part.Type != "text" {
			return errkind.New(errkind.BadRequest, "content of type %q is not supported, since its number of tokens is not bounded", part.Type)
		}
	}
	return nil
}

// plainPrompt accepts one text, which may be in a list of one, or one list of token numbers.
func (req fields) plainPrompt() (prompt, error) {
	raw := req["prompt"]
	var text string
	if json.Unmarshal(raw, &text) == nil && len(raw) > 0 && raw[0] == '"' {
		return prompt{messages: 1, text: []byte(text)}, nil
	}
	var texts []string
	if json.Unmarshal(raw, &texts) == nil && len(texts) == 1 {
		return prompt{messages: 1, text: []byte(texts[0])}, nil
	}
	var tokens []uint64
	if json.Unmarshal(raw, &tokens) == nil && len(tokens) > 0 {
		// A token number with its comma takes at least two bytes, so the bound by bytes would hold
		// only with a bytesPerToken of at most 2. Each token is therefore counted as a message.
		return prompt{messages: len(tokens), text: raw}, nil
	}
	return prompt{}, errkind.New(errkind.BadRequest, "field \"prompt\" is neither a single text nor a list of token numbers")
}

// PrefixHashes returns the hashes of the successive prefixes of text, one for each whole block,
// with the model included in each. Two prompts have the same first k hashes if they have the same
// first k blocks.
func PrefixHashes(model string, text []byte) []uint64 {
	n := min(len(text)/BlockBytes, MaxBlocks)
	if n == 0 {
		return nil
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	hashes := make([]uint64, n)
	for i := range hashes {
		_, _ = d.Write(text[i*BlockBytes : (i+1)*BlockBytes])
		hashes[i] = d.Sum64()
	}
	return hashes
}

package standin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The token counts of prompts and the lengths of answers.
const (
	bytesPerToken    = 4
	tokensPerMessage = 4
	// defaultOutput and defaultOutputSpread bound the length of an answer to a request
	// without a cap.
	defaultOutput       = 16
	defaultOutputSpread = 48
)

// Prompt is the input that determines an answer: the messages of a chat, or the single text of
// a plain completion.
type Prompt struct {
	Roles    []string
	Contents []string
}

// Text returns the prompt as one string.
func (p Prompt) Text() string {
	var b strings.Builder
	for i, c := range p.Contents {
		b.WriteString(p.Roles[i])
		b.WriteByte('\n')
		b.WriteString(c)
		b.WriteByte('\n')
	}
	return b.String()
}

// Hash returns a hash of the prompt.
func (p Prompt) Hash() uint64 { return xxhash.Sum64String(p.Text()) }

// Tokens returns the number of tokens of the prompt: one for every four bytes of all contents
// together, rounded up, and four for each message.
func (p Prompt) Tokens() int {
	bytes := 0
	for _, c := range p.Contents {
		bytes += len(c)
	}
	return (bytes+bytesPerToken-1)/bytesPerToken + tokensPerMessage*len(p.Contents)
}

// Token returns the text of output token i of the answer to the prompt with the given hash. The
// first token is the hash itself, and each later one contains its number.
func Token(hash uint64, i int) string {
	if i == 0 {
		return fmt.Sprintf("%016x", hash)
	}
	return fmt.Sprintf(" w%d", i)
}

// Answer returns the text of the output tokens in the range [from, to).
func Answer(hash uint64, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(Token(hash, i))
	}
	return b.String()
}

// OutputTokens returns the length of the answer to the prompt with the given hash. maxTokens 0
// means no cap. An answer ends at a length in the upper half of its cap, or exactly at the cap if
// ignoreEnd is set.
func OutputTokens(hash uint64, maxTokens int, ignoreEnd bool) int {
	if maxTokens <= 0 {
		return defaultOutput + int(hash%defaultOutputSpread)
	}
	if ignoreEnd {
		return maxTokens
	}
	least := (maxTokens + 1) / 2
	return least + int(hash%uint64(maxTokens-least+1))
}

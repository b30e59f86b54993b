package standin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// How prompts are counted and how long answers are.
const (
	bytesPerToken    = 4
	tokensPerMessage = 4
	// defaultOutput and defaultOutputSpread bound the length of an answer to a
	// request without a cap.
	defaultOutput       = 16
	defaultOutputSpread = 48
)

// Prompt is what an answer depends on: the messages of a chat, or the one text of
// a plain completion.
type Prompt struct {
	Roles    []string
	Contents []string
}

// Text is the prompt as one string.
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

// Hash identifies the prompt.
func (p Prompt) Hash() uint64 { return xxhash.Sum64String(p.Text()) }

// Tokens counts the prompt: a token for each started four bytes of all contents
// together, and four for each message.
func (p Prompt) Tokens() int {
	bytes := 0
	for _, c := range p.Contents {
		bytes += len(c)
	}
	return (bytes+bytesPerToken-1)/bytesPerToken + tokensPerMessage*len(p.Contents)
}

// Token returns the text of output token i of the answer to the prompt with hash.
// The first token is the hash itself, each later one carries its number.
func Token(hash uint64, i int) string {
	if i == 0 {
		return fmt.Sprintf("%016x", hash)
	}
	return fmt.Sprintf(" w%d", i)
}

// Answer returns the text of the output tokens from (inclusive) to to (exclusive).
func Answer(hash uint64, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(Token(hash, i))
	}
	return b.String()
}

// OutputTokens is the length of the answer to the prompt with hash. maxTokens 0
// means no cap. An answer ends by itself in the upper half of its cap unless
// ignoreEnd is set, which makes it run up to the cap.
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

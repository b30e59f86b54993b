package load

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strings"

	"github.com/bluebellsail/bluebellsail/internal/standin"
)

// request is a request together with its expected answer.
type request struct {
	number  int
	account Account
	key     string // idempotency key
	work    Work
	method  string
	path    string
	body    []byte
	stream  bool

	// hash of the prompt and output, a number of tokens, determine the expected answer to a
	// chat.
	hash   uint64
	output int
	// query is the query of a lookup.
	query string
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream"`
	IgnoreEOS bool          `json:"ignore_eos,omitempty"`
	// StreamOptions requests the usage, which streams omit by default.
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// requestOf returns request number n of a run.
func (o *Options) requestOf(n int) *request {
	r := &request{
		number:  n,
		account: o.Accounts[n%len(o.Accounts)],
		key:     fmt.Sprintf("load-%s-%d", o.Seed, n),
		work:    o.Work,
		method:  "POST",
	}
	switch o.Work {
	case WorkLookup:
		r.method = "GET"
		r.query = r.key
		r.path = "/services/" + o.Service + "/lookup?q=" + url.QueryEscape(r.query)
	case WorkEntry:
		r.path = "/services/" + o.Service + "/entries"
		r.body = mustJSON(map[string]string{"id": r.key})
	default:
		o.chat(r)
	}
	return r
}

func (o *Options) chat(r *request) {
	r.path = "/v1/chat/completions"
	r.stream = o.Stream
	r.setPrompt(o, o.prompt(r))
}

// setPrompt makes r a chat whose last message has the given content, and computes the expected answer.
func (r *request) setPrompt(o *Options, content string) {
	var messages []chatMessage
	var prompt standin.Prompt
	for _, text := range append(slices.Clone(o.Earlier), content) {
		messages = append(messages, chatMessage{Role: "user", Content: text})
		prompt.Roles, prompt.Contents = append(prompt.Roles, "user"), append(prompt.Contents, text)
	}
	var options *streamOptions
	if r.stream {
		options = &streamOptions{IncludeUsage: true}
	}
	r.body = mustJSON(chatRequest{
		Model:     o.Model,
		Messages:  messages,
		MaxTokens: o.MaxTokens,
		Stream:    r.stream,
		IgnoreEOS: o.Exact,

		StreamOptions: options,
	})
	r.hash = prompt.Hash()
	r.output = standin.OutputTokens(r.hash, o.MaxTokens, o.Exact)
}

// prompt returns a text that an account's requests share, followed by the request's own text
// and padding.
func (o *Options) prompt(r *request) string {
	shared := pad("shared by "+r.account.Name+" ", o.SharedBytes)
	return pad(shared+r.key+" of "+r.account.Name+" ", o.PromptBytes)
}

// pad repeats s until it has n bytes. A longer s is not truncated.
func pad(s string, n int) string {
	if n <= len(s) {
		return s
	}
	return strings.Repeat(s, n/len(s)+1)[:n]
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // can't occur: only types of this package are encoded
	}
	return b
}

// fault describes what is wrong with a successful answer. It returns "" if the answer is correct.
func (r *request) fault(a *attempt) string {
	switch r.work {
	case WorkLookup:
		if a.code != standin.LookupCode(r.query) {
			return fmt.Sprintf("code %q for %q", a.code, r.query)
		}
	case WorkEntry:
		if a.entryID != r.key || a.entryRun != 1 {
			return fmt.Sprintf("entry %q run %d, want %q run 1", a.entryID, a.entryRun, r.key)
		}
	default:
		return r.chatFault(a)
	}
	return ""
}

func (r *request) chatFault(a *attempt) string {
	if want := standin.Answer(r.hash, 0, r.output); a.text != want {
		return fmt.Sprintf("text of %d bytes, want %d; begins %.40q, want %.40q", len(a.text), len(want), a.text, want)
	}
	if a.output != uint64(r.output) {
		return fmt.Sprintf("usage of %d output tokens, want %d", a.output, r.output)
	}
	return ""
}

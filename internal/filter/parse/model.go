package parse

import (
	"encoding/json"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// Bounds of a completion request.
const (
	maxModelName = 256
	maxMessages  = 10_000
	// maxAsked is over any engine's output; a larger number is a mistake and would
	// overflow sums.
	maxAsked = 1 << 32
)

// fields of a completion's body, by name, as the caller wrote them.
type fields map[string]json.RawMessage

// known are the fields the router itself reads or sets.
var known = []string{"model", "adapter", "stream", "stream_options", "max_tokens", "max_completion_tokens", "n", "best_of", "messages", "prompt"}

// model takes a chat completion or completion and writes the engine's body.
func (f *Filter) model(c *filter.Call, body []byte) error {
	req, err := decode(body)
	if err != nil {
		return err
	}
	if c.Model, err = req.name("model", true); err != nil {
		return err
	}
	if c.Adapter, err = req.name("adapter", false); err != nil {
		return err
	}
	if !allowed(c.Team.Models, c.Model) {
		return errkind.New(errkind.UnknownModel, "team %s may not use model %s", c.TeamName, c.Model)
	}
	if c.Stream, err = req.flag("stream"); err != nil {
		return err
	}
	if c.WantsUsage, err = req.wantsUsage(); err != nil {
		return err
	}
	if err := req.onlyOne(); err != nil {
		return err
	}
	p, err := req.prompt(c.Path)
	if err != nil {
		return err
	}
	if c.OutputCap, err = req.outputCap(c.Team.MaxOutputTokens); err != nil {
		return err
	}
	c.Method = http.MethodPost
	c.ContentType = "application/json"
	c.BodyHash = hash(c.Method, c.Path, "", body)
	c.PromptTokens = promptBound(len(body), p.messages)
	c.PromptHashes = PrefixHashes(c.Model, p.text)
	c.Reserved = c.PromptTokens + c.OutputCap
	c.Body, err = req.forEngine(c.OutputCap)
	return err
}

// decode reads the body's top level. A field that differs from a known one only in
// case is refused: an engine whose decoder ignores case would take it for that one
// and, say, generate past the output cap that was reserved.
func decode(body []byte) (fields, error) {
	if !utf8.Valid(body) {
		return nil, errkind.New(errkind.BadRequest, "the body is not UTF-8")
	}
	var req fields
	if err := json.Unmarshal(body, &req); err != nil || req == nil {
		return nil, errkind.New(errkind.BadRequest, "the body is not a JSON object")
	}
	for name := range req {
		for _, k := range known {
			if name != k && strings.EqualFold(name, k) {
				return nil, errkind.New(errkind.BadRequest, "field %q is written %q", name, k)
			}
		}
	}
	return req, nil
}

func (req fields) name(field string, needed bool) (string, error) {
	raw, ok := req[field]
	if !ok || isNull(raw) {
		if needed {
			return "", errkind.New(errkind.BadRequest, "field %q is missing", field)
		}
		return "", nil
	}
	var s string
	if json.Unmarshal(raw, &s) != nil || s == "" || len(s) > maxModelName {
		return "", errkind.New(errkind.BadRequest, "field %q is not a name", field)
	}
	return s, nil
}

func (req fields) flag(field string) (bool, error) {
	raw, ok := req[field]
	if !ok || isNull(raw) {
		return false, nil
	}
	var b bool
	if json.Unmarshal(raw, &b) != nil {
		return false, errkind.New(errkind.BadRequest, "field %q is neither true nor false", field)
	}
	return b, nil
}

// number is the whole number in field; 0: absent.
func (req fields) number(field string) (uint64, error) {
	raw, ok := req[field]
	if !ok || isNull(raw) {
		return 0, nil
	}
	var n uint64
	if json.Unmarshal(raw, &n) != nil || n == 0 || n > maxAsked {
		return 0, errkind.New(errkind.BadRequest, "field %q is not a positive whole number within bounds", field)
	}
	return n, nil
}

func (req fields) wantsUsage() (bool, error) {
	raw, ok := req["stream_options"]
	if !ok || isNull(raw) {
		return false, nil
	}
	var opts fields
	if json.Unmarshal(raw, &opts) != nil {
		return false, errkind.New(errkind.BadRequest, "field \"stream_options\" is not an object")
	}
	return opts.flag("include_usage")
}

// onlyOne refuses requests for several outputs: each would need its own cap.
func (req fields) onlyOne() error {
	for _, field := range []string{"n", "best_of"} {
		n, err := req.number(field)
		if err != nil {
			return err
		}
		if n > 1 {
			return errkind.New(errkind.BadRequest, "field %q over 1 is not supported; send several requests", field)
		}
	}
	return nil
}

// outputCap is what the caller asked for, within the team's limit.
func (req fields) outputCap(limit uint64) (uint64, error) {
	limited := limit
	for _, field := range []string{"max_tokens", "max_completion_tokens"} {
		n, err := req.number(field)
		if err != nil {
			return 0, err
		}
		if n > 0 {
			limited = min(limited, n)
		}
	}
	return limited, nil
}

// forEngine is the body sent on: always a stream with its usage, since only a stream
// shows how far a run has come and can be resumed, and with the output cap.
func (req fields) forEngine(outputCap uint64) ([]byte, error) {
	delete(req, "max_completion_tokens")
	req["max_tokens"], _ = json.Marshal(outputCap)
	req["stream"] = json.RawMessage("true")
	opts := fields{}
	if raw, ok := req["stream_options"]; ok && !isNull(raw) {
		_ = json.Unmarshal(raw, &opts) // wantsUsage has read it before
	}
	opts["include_usage"] = json.RawMessage("true")
	req["stream_options"], _ = json.Marshal(opts)
	return json.Marshal(req)
}

func isNull(raw json.RawMessage) bool { return string(raw) == "null" }

package parse

import (
	"encoding/json"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// Limits of a completion request.
const (
	maxModelName = 256
	maxMessages  = 10_000
	// maxRequestedTokens exceeds any engine's output. A larger number is a mistake and would
	// overflow sums.
	maxRequestedTokens = 1 << 32
)

// fields are the fields of a completion's body by name, as sent by the caller.
type fields map[string]json.RawMessage

// knownFields are the fields that the router itself reads or sets.
var knownFields = []string{"model", "adapter", "stream", "stream_options", "max_tokens", "max_completion_tokens", "n", "best_of", "messages", "prompt"}

// model parses a chat completion or completion and builds the engine's body.
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
	if err := req.checkSingleOutput(); err != nil {
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
	c.SharedParts = p.shared
	c.Reserved = c.PromptTokens + c.OutputCap
	c.Body, err = req.engineBody(c.OutputCap)
	return err
}

// decode parses the top level of the body. A field that differs from a known one only in letter
// case is rejected: an engine whose decoder ignores case would take it for the known field and
// could, for example, exceed the output cap that was reserved.
func decode(body []byte) (fields, error) {
	if !utf8.Valid(body) {
		return nil, errkind.New(errkind.BadRequest, "the body is not UTF-8")
	}
	var req fields
	if err := json.Unmarshal(body, &req); err != nil || req == nil {
		return nil, errkind.New(errkind.BadRequest, "the body is not a JSON object")
	}
	for name := range req {
		for _, k := range knownFields {
			if name != k && strings.EqualFold(name, k) {
				return nil, errkind.New(errkind.BadRequest, "field %q must be written %q", name, k)
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
		return "", errkind.New(errkind.BadRequest, "field %q is not a valid name", field)
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

// number returns the positive integer in field; 0 if the field is absent.
func (req fields) number(field string) (uint64, error) {
	raw, ok := req[field]
	if !ok || isNull(raw) {
		return 0, nil
	}
	var n uint64
	if json.Unmarshal(raw, &n) != nil || n == 0 || n > maxRequestedTokens {
		return 0, errkind.New(errkind.BadRequest, "field %q is not a positive integer within bounds", field)
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

// checkSingleOutput rejects requests for several outputs, since each would need its own cap.
func (req fields) checkSingleOutput() error {
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

// outputCap returns the smallest of the caller's limits and the team's limit.
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

// engineBody returns the body for the engine. It contains the output cap and always asks for a
// stream with its usage, since only a stream shows how far a run has come and can be resumed.
func (req fields) engineBody(outputCap uint64) ([]byte, error) {
	delete(req, "max_completion_tokens")
	req["max_tokens"], _ = json.Marshal(outputCap)
	req["stream"] = json.RawMessage("true")
	opts := fields{}
	if raw, ok := req["stream_options"]; ok && !isNull(raw) {
		_ = json.Unmarshal(raw, &opts) // wantsUsage has already checked it
	}
	opts["include_usage"] = json.RawMessage("true")
	req["stream_options"], _ = json.Marshal(opts)
	return json.Marshal(req)
}

func isNull(raw json.RawMessage) bool { return string(raw) == "null" }

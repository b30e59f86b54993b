package dispatch

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// assembly joins a stream into one answer for a caller that did not ask for a stream.
type assembly struct {
	w       http.ResponseWriter
	c       *filter.Call
	top     object
	choices []any
	usage   any
}

// object is a JSON object whose fields the router does not interpret.
type object = map[string]any

func newAssembly(w http.ResponseWriter, c *filter.Call) *assembly {
	return &assembly{w: w, c: c}
}

// chunk implements sink.
func (a *assembly) chunk(raw []byte, _ *chunk) error {
	var o object
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	if err := d.Decode(&o); err != nil {
		return errEngine
	}
	list, _ := o["choices"].([]any)
	delete(o, "choices")
	if u := o["usage"]; u != nil {
		a.usage = u
	}
	delete(o, "usage")
	if a.top == nil {
		a.top = o
	}
	for _, v := range list {
		if c, ok := v.(object); ok {
			toWholeAnswer(c)
		}
	}
	a.choices = mergeList(a.choices, list)
	return nil
}

// toWholeAnswer converts a choice of a stream to one of a whole answer.
func toWholeAnswer(choice object) {
	if d, ok := choice["delta"]; ok {
		choice["message"] = d
		delete(choice, "delta")
	}
	if _, ok := choice["index"]; !ok {
		choice["index"] = json.Number("0")
	}
}

// flush implements sink. Nothing is sent before the end.
func (a *assembly) flush() {}

// end implements sink.
func (a *assembly) end() error {
	if a.top == nil {
		a.top = object{}
	}
	if name, ok := a.top["object"].(string); ok {
		a.top["object"] = strings.TrimSuffix(name, ".chunk")
	}
	a.top["choices"] = a.choices
	if a.usage != nil {
		a.top["usage"] = a.usage
	}
	body, err := json.Marshal(a.top)
	if err != nil {
		return errEngine
	}
	ans := &a.c.Answer
	*ans = filter.Answer{Begun: true, Status: http.StatusOK, ContentType: "application/json", Tokens: ans.Tokens}
	appendAnswer(ans, body)
	h := a.w.Header()
	h.Set("Content-Type", ans.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	a.w.WriteHeader(http.StatusOK)
	_, _ = a.w.Write(body)
	return nil
}

// merge merges src into dst: texts are appended, objects and lists are merged, and other values are
// replaced.
func merge(dst, src object) {
	for k, v := range src {
		switch v := v.(type) {
		case nil:
		case string:
			dst[k] = mergeText(k, dst[k], v)
		case object:
			if old, ok := dst[k].(object); ok {
				merge(old, v)
			} else {
				dst[k] = v
			}
		case []any:
			old, _ := dst[k].([]any)
			dst[k] = mergeList(old, v)
		default:
			dst[k] = v
		}
	}
}

// mergeText appends v to a text that arrives in pieces. Names and similar fields arrive whole and
// are replaced.
func mergeText(field string, old any, v string) string {
	switch field {
	case "role", "id", "type", "name", "finish_reason", "object":
		return v
	}
	s, _ := old.(string)
	return s + v
}

// mergeList merges elements that have the same index and appends the others.
func mergeList(dst, src []any) []any {
	for _, v := range src {
		o, ok := v.(object)
		if !ok {
			dst = append(dst, v)
			continue
		}
		if old := withIndex(dst, o["index"]); old != nil {
			merge(old, o)
			continue
		}
		dst = append(dst, o)
	}
	return dst
}

func withIndex(list []any, index any) object {
	if index == nil {
		return nil
	}
	for _, v := range list {
		if o, ok := v.(object); ok && o["index"] == index {
			return o
		}
	}
	return nil
}

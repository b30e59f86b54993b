package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// render fills in a settings template as DEPLOY.md describes it. The fields are nested maps, lists
// and plain values.
func render(text string, fields any) (string, error) {
	r := renderer{text: text}
	out, err := r.block([]scope{{value: fields}}, "")
	if err != nil {
		return "", err
	}
	return out, nil
}

// scope is an entry of a section with its key and whether it is the last one.
type scope struct {
	value any
	key   string
	last  bool
}

type renderer struct {
	text string
	at   int
}

// block renders up to the end of the named section, or to the end of the text.
func (r *renderer) block(scopes []scope, section string) (string, error) {
	var out strings.Builder
	for {
		open := strings.Index(r.text[r.at:], "{{")
		if open < 0 {
			if section != "" {
				return "", fmt.Errorf("section %s has no end", section)
			}
			out.WriteString(r.text[r.at:])
			return out.String(), nil
		}
		out.WriteString(r.text[r.at : r.at+open])
		r.at += open + 2
		end := strings.Index(r.text[r.at:], "}}")
		if end < 0 {
			return "", fmt.Errorf("a placeholder has no end")
		}
		name := r.text[r.at : r.at+end]
		r.at += end + 2
		switch {
		case name == "/"+section && section != "":
			return out.String(), nil
		case strings.HasPrefix(name, "#"), strings.HasPrefix(name, "^"):
			part, err := r.section(scopes, name[1:], name[0] == '^')
			if err != nil {
				return "", err
			}
			out.WriteString(part)
		default:
			out.WriteString(placeholder(scopes, name))
		}
	}
}

// section renders a section once for each entry, once, or not at all.
func (r *renderer) section(scopes []scope, name string, inverted bool) (string, error) {
	start := r.at
	var out strings.Builder
	entries := entriesOf(lookup(scopes, name))
	if inverted {
		if len(entries) > 0 {
			entries = nil
		} else {
			entries = []scope{{value: true}}
		}
	}
	for _, e := range entries {
		r.at = start
		part, err := r.block(append(scopes[:len(scopes):len(scopes)], e), name)
		if err != nil {
			return "", err
		}
		out.WriteString(part)
	}
	if len(entries) == 0 { // skip its text
		if _, err := r.block(append(scopes[:len(scopes):len(scopes)], scope{value: true}), name); err != nil {
			return "", err
		}
	}
	return out.String(), nil
}

func entriesOf(v any) []scope {
	switch v := v.(type) {
	case nil:
		return nil
	case bool:
		if !v {
			return nil
		}
	case string:
		if v == "" {
			return nil
		}
	case []any:
		var out []scope
		for i, e := range v {
			out = append(out, scope{e, strconv.Itoa(i), i == len(v)-1})
		}
		return out
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		var out []scope
		for i, k := range keys {
			out = append(out, scope{v[k], k, i == len(keys)-1})
		}
		return out
	}
	return []scope{{value: v}}
}

// lookup resolves a dotted name in the innermost scope that has it.
func lookup(scopes []scope, name string) any {
	for i := len(scopes) - 1; i >= 0; i-- {
		if v, ok := resolve(scopes[i].value, name); ok {
			return v
		}
	}
	return nil
}

func resolve(v any, name string) (any, bool) {
	if name == "." {
		return v, true
	}
	for _, part := range strings.Split(name, ".") {
		switch t := v.(type) {
		case map[string]any:
			next, ok := t[part]
			if !ok {
				return nil, false
			}
			v = next
		case []any:
			n, err := strconv.Atoi(part)
			if err != nil || n < 0 || n >= len(t) {
				return nil, false
			}
			v = t[n]
		default:
			return nil, false
		}
	}
	return v, true
}

func placeholder(scopes []scope, name string) string {
	inner := scopes[len(scopes)-1]
	switch name {
	case "@":
		return inner.key
	case ",":
		if inner.last {
			return ""
		}
		return ","
	}
	name, asJSON := strings.CutSuffix(name, "|json")
	v := lookup(scopes, name)
	if asJSON {
		b, _ := json.Marshal(v)
		return string(b)
	}
	switch v := v.(type) {
	case nil:
		return ""
	case []any:
		var out []string
		for _, e := range v {
			out = append(out, fmt.Sprint(e))
		}
		return strings.Join(out, ",")
	case map[string]any:
		b, _ := json.Marshal(v)
		return string(b)
	}
	return fmt.Sprint(v)
}

// This file reads JSON into plain values in one pass. A key given twice, of which
// common readers silently keep the last, is refused with its place; and a canonical
// form tells whether two documents say the same, whatever their spacing and order.

package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// tree reads text that is known to be sound JSON. Places are put together only
// where one is to be named.
type tree struct {
	s     string
	i     int
	exact bool // numbers stay as they are written, as json.Number
}

// object reads a document that must be exactly one JSON object; its errors are marked ErrNotJSON.
func object(doc []byte) (map[string]any, error) { return readObject(doc, false) }

func readObject(doc []byte, exact bool) (map[string]any, error) {
	t := tree{s: string(doc), exact: exact}
	if t.skip(); t.i == len(t.s) || t.s[t.i] != '{' {
		return nil, errors.Wrap(ErrNotJSON, "must start with {")
	}
	if !json.Valid(doc) {
		var v any
		return nil, errors.Mark(json.Unmarshal(doc, &v), ErrNotJSON) // says where
	}
	m, wrong := t.members()
	if wrong != nil {
		return nil, errors.Mark(errors.WithStack(wrong), ErrNotJSON)
	}
	return m, nil
}

// skip passes white space.
func (t *tree) skip() {
	for t.i < len(t.s) && (t.s[t.i] == ' ' || t.s[t.i] == '\n' || t.s[t.i] == '\t' || t.s[t.i] == '\r') {
		t.i++
	}
}

// misplaced is a trouble whose place grows on the way out.
type misplaced struct{ path, text string }

func (m *misplaced) Error() string { return m.path + " " + m.text }

func (m *misplaced) within(at string) *misplaced {
	if m != nil {
		if m.path != "" && m.path[0] != '[' {
			at += "."
		}
		m.path = at + m.path
	}
	return m
}

func (t *tree) value() (any, *misplaced) {
	switch t.s[t.i] {
	case '{':
		return t.members()
	case '[':
		return t.list()
	case '"':
		return t.text(), nil
	case 't':
		t.i += len("true")
		return true, nil
	case 'f':
		t.i += len("false")
		return false, nil
	case 'n':
		t.i += len("null")
		return nil, nil
	}
	from := t.i
	for t.i < len(t.s) && strings.IndexByte("+-0123456789.eE", t.s[t.i]) >= 0 {
		t.i++
	}
	if t.exact {
		return json.Number(t.s[from:t.i]), nil
	}
	f, err := strconv.ParseFloat(t.s[from:t.i], 64)
	if err != nil {
		return nil, &misplaced{"", "is too large a number"}
	}
	return f, nil
}

func (t *tree) members() (map[string]any, *misplaced) {
	m := map[string]any{}
	t.i++
	for t.skip(); t.s[t.i] != '}'; t.skip() {
		if t.s[t.i] == ',' {
			t.i++
			t.skip()
		}
		k := t.text()
		t.skip()
		t.i++ // the colon
		t.skip()
		v, wrong := t.value()
		if wrong != nil {
			return nil, wrong.within(k)
		}
		n := len(m)
		if m[k] = v; len(m) == n {
			return nil, &misplaced{k, "is given twice"}
		}
	}
	t.i++
	return m, nil
}

func (t *tree) list() ([]any, *misplaced) {
	l := []any{}
	t.i++
	for t.skip(); t.s[t.i] != ']'; t.skip() {
		if t.s[t.i] == ',' {
			t.i++
			t.skip()
		}
		v, wrong := t.value()
		if wrong != nil {
			return nil, wrong.within(fmt.Sprintf("[%d]", len(l)))
		}
		l = append(l, v)
	}
	t.i++
	return l, nil
}

// text reads a string; what has escapes or is not ASCII is left to the library.
func (t *tree) text() string {
	from, plain := t.i, true
	i := from + 1
	for ; t.s[i] != '"'; i++ {
		if c := t.s[i]; c == '\\' {
			plain = false
			i++
		} else if c >= utf8.RuneSelf {
			plain = false
		}
	}
	t.i = i + 1
	if plain {
		return t.s[from+1 : i]
	}
	var u string
	if err := json.Unmarshal([]byte(t.s[from:t.i]), &u); err != nil {
		panic(errors.Wrap(err, "a string of a sound document"))
	}
	return u
}

// Canonical returns one form for all documents that say the same, whatever their spacing and the
// order of their keys. Its errors are marked ErrNotJSON.
func Canonical(doc []byte) ([]byte, error) {
	m, err := readObject(doc, true)
	if err != nil {
		return nil, err
	}
	return canonical(make([]byte, 0, len(doc)), m), nil
}

func canonical(b []byte, v any) []byte {
	switch x := v.(type) {
	case map[string]any:
		b = append(b, '{')
		for i, k := range slices.Sorted(maps.Keys(x)) {
			if i > 0 {
				b = append(b, ',')
			}
			b = append(strconv.AppendQuote(b, k), ':')
			b = canonical(b, x[k])
		}
		return append(b, '}')
	case []any:
		b = append(b, '[')
		for i, e := range x {
			if i > 0 {
				b = append(b, ',')
			}
			b = canonical(b, e)
		}
		return append(b, ']')
	case string:
		return strconv.AppendQuote(b, x)
	case json.Number:
		return append(b, x...)
	case bool:
		return strconv.AppendBool(b, x)
	}
	return append(b, "null"...)
}

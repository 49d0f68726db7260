package config

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// parseObject parses a document that must be exactly one JSON object. Its errors are marked ErrNotJSON. A duplicate key,
// of which common parsers silently keep the last, is an error with its path.
func parseObject(doc []byte) (map[string]any, error) { return parse(doc, false) }

// parse implements parseObject. If exactNumbers is set, numbers are returned as json.Number in their original spelling,
// else as float64.
func parse(doc []byte, exactNumbers bool) (map[string]any, error) {
	p := parser{text: string(doc), exactNumbers: exactNumbers}
	if p.skipSpace(); p.offset == len(p.text) || p.text[p.offset] != '{' {
		return nil, errors.Wrap(ErrNotJSON, "must start with {")
	}
	if !json.Valid(doc) {
		var v any
		return nil, errors.Mark(json.Unmarshal(doc, &v), ErrNotJSON) // returns an error with the position
	}
	object, err := p.object()
	if err != nil {
		return nil, errors.Mark(errors.WithStack(err), ErrNotJSON)
	}
	return object, nil
}

// parser parses text that is known to be valid JSON, in one pass. It builds paths only for errors.
type parser struct {
	text         string
	offset       int  // offset of the next byte in text
	exactNumbers bool // see parse
}

// parseError is an error at a path. Each enclosing value adds its key or index to the path.
type parseError struct{ path, text string }

// Error implements error.
func (e *parseError) Error() string { return e.path + " " + e.text }

// within prepends the key or index of the enclosing value to the error's path.
func (e *parseError) within(path string) *parseError {
	if e.path != "" && e.path[0] != '[' {
		path += "."
	}
	e.path = path + e.path
	return e
}

func (p *parser) skipSpace() {
	for p.offset < len(p.text) && strings.IndexByte(" \n\t\r", p.text[p.offset]) >= 0 {
		p.offset++
	}
}

func (p *parser) value() (any, *parseError) {
	switch p.text[p.offset] {
	case '{':
		return p.object()
	case '[':
		return p.array()
	case '"':
		return p.string(), nil
	case 't':
		p.offset += len("true")
		return true, nil
	case 'f':
		p.offset += len("false")
		return false, nil
	case 'n':
		p.offset += len("null")
		return nil, nil
	}
	return p.number()
}

func (p *parser) number() (any, *parseError) {
	start := p.offset
	for p.offset < len(p.text) && strings.IndexByte("+-0123456789.eE", p.text[p.offset]) >= 0 {
		p.offset++
	}
	text := p.text[start:p.offset]
	if p.exactNumbers {
		return json.Number(text), nil
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return nil, &parseError{"", "is a number out of range"}
	}
	return f, nil
}

func (p *parser) object() (map[string]any, *parseError) {
	object := map[string]any{}
	p.offset++
	for p.skipSpace(); p.text[p.offset] != '}'; p.skipSpace() {
		p.skipComma()
		key := p.string()
		p.skipSpace()
		p.offset++ // the colon
		p.skipSpace()
		v, err := p.value()
		if err != nil {
			return nil, err.within(key)
		}
		before := len(object)
		if object[key] = v; len(object) == before {
			return nil, &parseError{key, "is a duplicate key"}
		}
	}
	p.offset++
	return object, nil
}

func (p *parser) array() ([]any, *parseError) {
	array := []any{}
	p.offset++
	for p.skipSpace(); p.text[p.offset] != ']'; p.skipSpace() {
		p.skipComma()
		v, err := p.value()
		if err != nil {
			return nil, err.within(fmt.Sprintf("[%d]", len(array)))
		}
		array = append(array, v)
	}
	p.offset++
	return array, nil
}

func (p *parser) skipComma() {
	if p.text[p.offset] == ',' {
		p.offset++
		p.skipSpace()
	}
}

// string parses a string. Strings with escapes or non-ASCII characters are decoded by package json, which replaces
// invalid UTF-8.
func (p *parser) string() string {
	start, plain := p.offset, true
	end := start + 1
	for ; p.text[end] != '"'; end++ {
		if b := p.text[end]; b == '\\' {
			plain = false
			end++
		} else if b >= utf8.RuneSelf {
			plain = false
		}
	}
	p.offset = end + 1
	if plain {
		return p.text[start+1 : end]
	}
	var s string
	if err := json.Unmarshal([]byte(p.text[start:p.offset]), &s); err != nil {
		panic(errors.Wrap(err, "decode a string in valid JSON"))
	}
	return s
}

package config

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
)

// Canonical returns a form that is the same for all documents of the same content, whatever their
// spacing and the order of their keys. Numbers are the same only if they are written alike. Its errors
// are marked ErrNotJSON.
func Canonical(doc []byte) ([]byte, error) {
	object, err := parse(doc, true)
	if err != nil {
		return nil, err
	}
	return appendCanonical(make([]byte, 0, len(doc)), object), nil
}

func appendCanonical(buf []byte, value any) []byte {
	switch x := value.(type) {
	case map[string]any:
		buf = append(buf, '{')
		for i, key := range slices.Sorted(maps.Keys(x)) {
			if i > 0 {
				buf = append(buf, ',')
			}
			buf = append(strconv.AppendQuote(buf, key), ':')
			buf = appendCanonical(buf, x[key])
		}
		return append(buf, '}')
	case []any:
		buf = append(buf, '[')
		for i, element := range x {
			if i > 0 {
				buf = append(buf, ',')
			}
			buf = appendCanonical(buf, element)
		}
		return append(buf, ']')
	case string:
		return strconv.AppendQuote(buf, x)
	case json.Number:
		return append(buf, x...)
	case bool:
		return strconv.AppendBool(buf, x)
	}
	return append(buf, "null"...)
}

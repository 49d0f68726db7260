package config

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
)

// Canonical returns a canonical form of a document, which does not depend on white space, key order or escapes in
// strings. Numbers keep their spelling, so that 1 and 1.0 differ. Its errors are marked ErrNotJSON.
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

package config

import (
	"math"
	"slices"
	"strings"

	"myrtlefold/internal/shared/tuning"
)

// field decodes the value of one field into a T. If the value has the wrong type, it adds a fault at the field's path,
// which is at joined with key.
type field[T any] func(c *checker, at, key string, value any, to *T)

// fields maps the JSON keys of a T to its fields.
type fields[T any] map[string]field[T]

// readFields decodes an object into to. It adds a fault for each key that is not in the table. The faults are sorted by
// path.
func readFields[T any](c *checker, at string, v any, table fields[T], to *T) {
	object, ok := v.(map[string]any)
	if !ok {
		c.add(at, "is a %s, must be an object", typeName(v))
		return
	}
	before := len(c.faults)
	for key, value := range object {
		if read, known := table[key]; known {
			read(c, at, key, value, to)
		} else {
			c.add(joinPath(at, key), "unknown field")
		}
	}
	slices.SortStableFunc(c.faults[before:], func(a, b Fault) int { return strings.Compare(a.Path, b.Path) })
}

// textField returns a field that holds a string.
func textField[T any, S ~string](member func(*T) *S) field[T] {
	return func(c *checker, at, key string, value any, to *T) {
		s, ok := value.(string)
		if !ok {
			c.add(joinPath(at, key), "is a %s, must be a string", typeName(value))
		}
		*member(to) = S(s)
	}
}

// numberField returns a field that holds any number.
func numberField[T any](member func(*T) *float64) field[T] {
	return func(c *checker, at, key string, value any, to *T) {
		f, ok := value.(float64)
		if !ok {
			c.add(joinPath(at, key), "is a %s, must be a number", typeName(value))
		}
		*member(to) = f
	}
}

// intField returns a field that holds a whole number.
func intField[T any](member func(*T) *int) field[T] {
	return func(c *checker, at, key string, value any, to *T) {
		f, ok := value.(float64)
		switch {
		case !ok:
			c.add(joinPath(at, key), "is a %s, must be a whole number", typeName(value))
		case f != math.Trunc(f) || math.Abs(f) > tuning.ExactIntegerMax:
			c.add(joinPath(at, key), "%v is not a whole number", f)
		default:
			*member(to) = int(f)
		}
	}
}

// typeName returns the name of the JSON type of a parsed value.
func typeName(v any) string {
	switch v.(type) {
	case nil:
		return "null"
	case bool:
		return "bool"
	case float64:
		return "number"
	case string:
		return "string"
	case []any:
		return "array"
	}
	return "object"
}

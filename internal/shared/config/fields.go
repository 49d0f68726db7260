package config

import (
	"math"
	"slices"
	"strings"

	"myrtlefold/internal/shared/tuning"
)

// field reads one field's value into a T. It adds a fault at the field's path, at and key together, if the
// value is of another type.
type field[T any] func(c *checker, at, key string, value any, to *T)

// fields are the fields of a T by their JSON keys.
type fields[T any] map[string]field[T]

// readFields reads an object into to. Fields that are not in the table are unknown. The faults are in order
// of their paths.
func readFields[T any](c *checker, at string, v any, table fields[T], to *T) {
	object, ok := v.(map[string]any)
	if !ok {
		c.add(at, "is a %s, wants object", typeName(v))
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

// textField is a field for a string.
func textField[T any, S ~string](member func(*T) *S) field[T] {
	return func(c *checker, at, key string, value any, to *T) {
		s, ok := value.(string)
		if !ok {
			c.add(joinPath(at, key), "is a %s, wants string", typeName(value))
		}
		*member(to) = S(s)
	}
}

// numberField is a field for any number.
func numberField[T any](member func(*T) *float64) field[T] {
	return func(c *checker, at, key string, value any, to *T) {
		f, ok := value.(float64)
		if !ok {
			c.add(joinPath(at, key), "is a %s, wants number", typeName(value))
		}
		*member(to) = f
	}
}

// intField is a field for a whole number.
func intField[T any](member func(*T) *int) field[T] {
	return func(c *checker, at, key string, value any, to *T) {
		f, ok := value.(float64)
		switch {
		case !ok:
			c.add(joinPath(at, key), "is a %s, wants int", typeName(value))
		case f != math.Trunc(f) || math.Abs(f) > tuning.ExactMax:
			c.add(joinPath(at, key), "%v is not a whole number", f)
		default:
			*member(to) = int(f)
		}
	}
}

// typeName names a parsed value's JSON type.
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

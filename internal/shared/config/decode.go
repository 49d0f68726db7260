package config

// Parsed values are decoded into structs in two ways. Services, rules, policies and objectives, of which there are few,
// are decoded by reflection (mapstructure). Routes, of which there may be thousands, and limits are decoded by tables of
// their fields (fields.go), without reflection.

import (
	"maps"
	"math"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/go-viper/mapstructure/v2"
	kjson "github.com/knadh/koanf/parsers/json"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"

	"myrtlefold/internal/shared/tuning"
)

// parseWithKoanf parses a document that must be exactly one JSON object. Its errors are marked ErrNotJSON.
func parseWithKoanf(doc []byte) (map[string]any, error) {
	if _, err := parseObject(doc); err != nil {
		return nil, err
	}
	k := koanf.New("\x00")
	if err := k.Load(rawbytes.Provider(doc), kjson.Parser()); err != nil {
		return nil, errors.Mark(err, ErrNotJSON)
	}
	return k.Raw(), nil
}

// decode decodes a parsed value into the struct that out points to, by its koanf tags, and adds a fault for each
// unknown field.
func (c *checker) decode(path string, value, out any) {
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:     out,
		TagName:    "koanf",
		DecodeHook: rejectFractions,
		MatchName:  func(a, b string) bool { return a == b },
	})
	if err != nil {
		panic(err)
	}
	if value == nil {
		c.add(path, "must not be null")
		return
	}
	c.addDecodeErrors(path, decoder.Decode(value))
	known := map[string]bool{}
	for t, i := reflect.TypeOf(out).Elem(), 0; i < t.NumField(); i++ {
		known[t.Field(i).Tag.Get("koanf")] = true
	}
	object, _ := value.(map[string]any)
	for _, key := range slices.Sorted(maps.Keys(object)) {
		if !known[key] {
			c.add(joinPath(path, key), "unknown field")
		}
	}
}

// rejectFractions is a decode hook that returns an error for an int field whose value is a fraction or exceeds
// tuning.ExactIntegerMax.
func rejectFractions(_, to reflect.Type, v any) (any, error) {
	if f, ok := v.(float64); ok && to.Kind() == reflect.Int && (f != math.Trunc(f) || math.Abs(f) > tuning.ExactIntegerMax) {
		return nil, errors.Newf("%v is not a whole number", f)
	}
	return v, nil
}

// addDecodeErrors adds a fault for each of the errors that are joined in err.
func (c *checker) addDecodeErrors(path string, err error) {
	if err == nil {
		return
	}
	var decodeError *mapstructure.DecodeError
	switch e := err.(type) {
	case *mapstructure.DecodeError:
		c.add(joinPath(path, e.Name()), "%v", e.Unwrap())
	case interface{ Unwrap() []error }:
		for _, joined := range e.Unwrap() {
			c.addDecodeErrors(path, joined)
		}
	default:
		if cause := errors.Unwrap(err); cause != nil && errors.As(err, &decodeError) {
			c.addDecodeErrors(path, cause)
			return
		}
		c.add(path, "%v", err)
	}
}

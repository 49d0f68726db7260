package config

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

func TestJSONParser(t *testing.T) {
	for doc, want := range map[string]string{
		`{"a":1,"a":2}`:                   "a is a duplicate key",
		`{"a":{"b":[0,{"c":1,"c":1}]}}`:   "a.b[1].c is a duplicate key",
		`{"a":[[],[{"x":1,"\u0078":1}]]}`: "a[1][0].x is a duplicate key",
		`{"a":[1e999]}`:                   "a[0] is a number out of range",
		`[]`:                              "must start with {",
		``:                                "must start with {",
		`{"a":1} {}`:                      "after top-level value",
		`{"a":01}`:                        "invalid character",
		`{"a":`:                           "unexpected end",
		`{"a":"\x01"}`:                    "invalid character",
	} {
		if _, _, err := Parse([]byte(doc), nil); err == nil || !errors.Is(err, ErrNotJSON) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want ErrNotJSON with %q", doc, err, want)
		}
	}
	for _, doc := range []string{`{}`, ` { "a" : [ ] , "b":[1, -2.5e3 ,"x\"\\\u00e9é\ud83d", true,false,null,{}],"":{"x":{}}}` + "\n"} {
		got, err := parseObject([]byte(doc))
		var want map[string]any
		if e := json.Unmarshal([]byte(doc), &want); e != nil || err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: parsed as %v with error %v, want %v; encoding/json has error %v", doc, got, err, want, e)
		}
	}
	same := func(a, b string) bool {
		x, err := Canonical([]byte(a))
		y, err2 := Canonical([]byte(b))
		if err != nil || err2 != nil {
			t.Fatalf("Canonical: errors %v and %v, want none", err, err2)
		}
		return string(x) == string(y)
	}
	if !same(`{"a":[1,"\u0041"],"b":{}}`, ` {"b" : { }, "a":[1, "A"]}`) {
		t.Error("two spellings of the same document have different canonical forms")
	}
	for _, o := range []string{`{"a":[1]}`, `{"a":["1"]}`, `{"a":[1.5]}`, `{"a":9007199254740993}`, `{"a":9007199254740992}`, `{"a":null}`, `{"a":[[1]]}`, `{"a":{"1":1}}`} {
		if same(`{"a":[1,2]}`, o) {
			t.Errorf("%s has the canonical form of another document", o)
		}
	}
	if same(`{"a":9007199254740993}`, `{"a":9007199254740992}`) {
		t.Error("numbers that are equal as float64 but written differently have the same canonical form")
	}
}

package outlier

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
)

// A session returns decisions for events, replaces policies in between, and returns an error for each rejected line.
func TestSessionEvaluatesLines(t *testing.T) {
	session := NewSession(&config.Config{})
	ev := func(ms int, ok bool) string {
		b, _ := json.Marshal(Event{At: time.Duration(ms) * time.Millisecond, Signal: "probe", Service: "s", Name: "a", Incarnation: 1, Success: ok})
		return string(b)
	}
	for i, c := range []struct{ in, want string }{
		{ev(0, true), ""},
		{ev(500, false), ""},
		{"not JSON", "error"},
		{`{"slice":"weather","service":"s","name":"a","incarnation":1}`, "error"},
		{`{"slice":"probe","service":"s","name":"a"}`, "error"},
		{ev(100, false), "error"}, // earlier than the latest event: not counted as a miss
		{ev(1000, false), "bar"},
		{`{"event":` + ev(1500, true) + `}`, "clear"},
		{`{"decision":{"kind":"bar"}}`, ""},
		{`{"policies":{"default":{"slice":"probe","when":"nonsense","decide":"bar","ttl_ms":9}}}`, "error"},
		{ev(2000, false), ""},
		{`{"policies":{"default":{"slice":"probe","when":"missed >= 4","decide":"bar","ttl_ms":1000}}}`, "replaced"},
		{ev(2500, false), "bar"}, // samples are kept when policies change: 4 missed in all
		{ev(4000, true), "lapse bar"},
		{`{"policies":{"default":null}}`, "replaced"},
		{ev(4100, false), ""},
		{ev(5100, false), "lapse bar"}, // without an override the built-in default policy is in force again
	} {
		var got []string
		for _, l := range session.Evaluate([]byte(c.in)) {
			if l.Line != uint64(i+1) {
				t.Errorf("the result of line %d has line number %d", i+1, l.Line)
			}
			switch {
			case l.Error != "":
				got = append(got, "error")
			case l.Decision != nil:
				got = append(got, string(l.Decision.Kind))
			default:
				got = append(got, "replaced")
			}
		}
		if s := strings.Join(got, " "); s != c.want {
			t.Errorf("line %d %s: %q, want %q", i+1, c.in, s, c.want)
		}
	}
}

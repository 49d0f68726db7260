package outlier

import (
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"

	"myrtlefold/internal/shared/config"
)

func TestCheckFindsFaults(t *testing.T) {
	good := config.Policy{Signal: "probe", When: "missed > 3", Decide: "bar", TTLMs: 1000, Mode: "live"}
	if fs := Check(good); len(fs) > 0 {
		t.Fatalf("faults %v in a valid policy", fs)
	}
	for _, c := range []struct {
		change func(*config.Policy)
		path   string
		text   string
	}{
		{func(p *config.Policy) { p.Signal = "weather" }, "slice", "no slice"},
		{func(p *config.Policy) { p.When = "misssed > 3" }, "when", "line 1, column 1: unknown name misssed"},
		{func(p *config.Policy) { p.When = "error_ratio > 1" }, "when", "unknown name error_ratio"},
		{func(p *config.Policy) { p.When = "missed > \"x\"" }, "when", "column 8"},
		{func(p *config.Policy) { p.When = "missed + 3" }, "when", "bool"},
		{func(p *config.Policy) { p.When = "" }, "when", ""},
		{func(p *config.Policy) { p.Clear = "missed >" }, "clear", "unexpected"},
		{func(p *config.Policy) { p.TTLMs = 0 }, "ttl_ms", "a bar requires"},
		{func(p *config.Policy) { p.TTLMs = 1 << 30 }, "ttl_ms", "a bar requires"},
		{func(p *config.Policy) { p.Decide = "hold" }, "ttl_ms", "must be 0 for a hold"},
		{func(p *config.Policy) { p.Decide = "ban" }, "decide", "must be bar or hold"},
		{func(p *config.Policy) { p.Mode = "maybe" }, "mode", "must be live, shadow or off"},
		{func(p *config.Policy) { p.When = "missed in 1..100000000" }, "when", ""},
		{func(p *config.Policy) { p.When = "missed > 0" + strings.Repeat(" or missed > 0", 100) }, "when", ""},
		{func(p *config.Policy) { p.When = "all([1,2,3], # > missed)" }, "when", ""},
	} {
		p := good
		c.change(&p)
		fs := Check(p)
		if len(fs) == 0 || fs[0].Path != c.path || !strings.Contains(fs[0].Text, c.text) {
			t.Errorf("%+v: faults %v, want one at %s with %q", p, fs, c.path, c.text)
		}
	}
}

// The example policies in docs/policy.md are valid, and two comparisons on the same events give equal scores.
func TestDocumentedPoliciesAreValid(t *testing.T) {
	b, err := os.ReadFile("../../../docs/policy.md")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, m := range regexp.MustCompile("(?s)```json\n(.*?)```").FindAllSubmatch(b, -1) {
		p := config.Policy{Mode: "live"}
		faults, err := config.Decode(m[1], &p)
		if err != nil || len(append(faults, Check(p)...)) > 0 {
			t.Errorf("example is not valid: error %v, faults %v %v in\n%s", err, faults, Check(p), m[1])
		}
		n++
	}
	if n < 3 {
		t.Fatalf("docs/policy.md has %d examples, want at least 3", n)
	}
	x, _ := json.Marshal(Compare(recording("flapping"), map[string]config.Policy{"default": config.DefaultPolicy()}))
	y, _ := json.Marshal(Compare(recording("flapping"), map[string]config.Policy{"default": config.DefaultPolicy()}))
	if string(x) != string(y) {
		t.Fatal("two comparisons on the same events give different scores")
	}
}

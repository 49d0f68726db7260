package outlier

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

func probe(at time.Duration, name string, ok bool) Event {
	return Event{At: at, Slice: "probe", Service: "s", Name: name, Incarnation: 1, Success: ok, Milliseconds: 1}
}

func kinds(ds []Decision) string {
	var l []string
	for _, d := range ds {
		l = append(l, d.Policy+" "+string(d.Kind))
	}
	return strings.Join(l, ",")
}

func with(ps map[string]config.Policy) *Detector {
	j := New()
	j.Replace(&config.Config{Policies: ps})
	return j
}

// The given design: one miss is nothing, two in a row ejection, the ejection lapses by
// itself if nobody judges any more, an answer clears it.
func TestDefaultPolicy(t *testing.T) {
	j := with(nil)
	id := wire.TargetID{Service: "s", Name: "a", Incarnation: 1}
	s := time.Second
	for i, c := range []struct {
		at     time.Duration
		ok     bool
		want   string
		barred bool
	}{
		{1 * s, true, "", false}, {2 * s, false, "", false}, {3 * s, true, "", false}, {4 * s, false, "", false},
		{5 * s, false, "default bar", true}, {6 * s, false, "", true}, {7 * s, true, "default clear", false},
		{8 * s, false, "", false}, {9 * s, false, "default bar", true},
	} {
		got := kinds(j.Step(probe(c.at, "a", c.ok)))
		until, _ := j.Ejected(c.at, id)
		if got != c.want || until > c.at != c.barred {
			t.Fatalf("step %d: %q, barred until %v", i, got, until)
		}
	}
	if got := kinds(j.Tick(9*s + tuning.EjectionTTL - 1)); got != "" {
		t.Fatal(got)
	}
	if got := kinds(j.Tick(9*s + tuning.EjectionTTL)); got != "default lapse" {
		t.Fatal(got)
	}
	if until, _ := j.Ejected(9*s+tuning.EjectionTTL, id); until != 0 {
		t.Fatal(until)
	}
}

func TestBadPolicies(t *testing.T) {
	good := config.Policy{Slice: "probe", When: "missed > 3", Decide: "bar", TTLMs: 1000, Mode: "live"}
	if fs := Check(good); len(fs) > 0 {
		t.Fatal(fs)
	}
	for _, c := range []struct {
		change func(*config.Policy)
		path   string
		text   string
	}{
		{func(p *config.Policy) { p.Slice = "weather" }, "slice", "no slice"},
		{func(p *config.Policy) { p.When = "misssed > 3" }, "when", "line 1, column 1: unknown name misssed"},
		{func(p *config.Policy) { p.When = "error_ratio > 1" }, "when", "unknown name error_ratio"},
		{func(p *config.Policy) { p.When = "missed > \"x\"" }, "when", "column 8"},
		{func(p *config.Policy) { p.When = "missed + 3" }, "when", "bool"},
		{func(p *config.Policy) { p.When = "" }, "when", ""},
		{func(p *config.Policy) { p.Clear = "missed >" }, "clear", "unexpected"},
		{func(p *config.Policy) { p.TTLMs = 0 }, "ttl_ms", "a bar needs"},
		{func(p *config.Policy) { p.TTLMs = 1 << 30 }, "ttl_ms", "a bar needs"},
		{func(p *config.Policy) { p.Decide = "hold" }, "ttl_ms", "a hold has none"},
		{func(p *config.Policy) { p.Decide = "ban" }, "decide", "bar or hold"},
		{func(p *config.Policy) { p.Mode = "maybe" }, "mode", "live, shadow or off"},
		{func(p *config.Policy) { p.When = "missed in 1..100000000" }, "when", ""},
		{func(p *config.Policy) { p.When = "missed > 0" + strings.Repeat(" or missed > 0", 100) }, "when", ""},
		{func(p *config.Policy) { p.When = "all([1,2,3], # > missed)" }, "when", ""},
	} {
		p := good
		c.change(&p)
		fs := Check(p)
		if len(fs) == 0 || fs[0].Path != c.path || !strings.Contains(fs[0].Text, c.text) {
			t.Errorf("%+v: %v", p, fs)
		}
	}
}

// A policy that fails while running decides nothing, is counted, and what it had
// decided lapses.
func TestFailingPolicy(t *testing.T) {
	j := with(map[string]config.Policy{"odd": {Slice: "exchange", When: "count % errors == 0", Decide: "bar", TTLMs: 1000, Mode: "live"}})
	e := Event{At: time.Second, Slice: "exchange", Service: "s", Name: "a", Incarnation: 1, Count: 4, Errors: 2}
	if got := kinds(j.Step(e)); got != "odd bar" {
		t.Fatal(got)
	}
	e.At, e.Errors = 12*time.Second, 0 // out of the window's reach
	if got := kinds(j.Step(e)); got != "" {
		t.Fatal(got)
	}
	if s := j.Stats()["odd"]; s.Failed != 1 || s.Error == "" {
		t.Fatalf("%+v", s)
	}
	if got := kinds(j.Tick(12 * time.Second)); got != "odd lapse" {
		t.Fatal(got)
	}
}

// Replacing policies keeps what a changed ejection policy had decided, drops what a
// removed one had, and a shadow decides without effect.
func TestReplace(t *testing.T) {
	p := config.Policy{Slice: "probe", When: "missed >= 1", Decide: "bar", TTLMs: 60000, Mode: "live"}
	shadow := p
	shadow.Mode = "shadow"
	id := wire.TargetID{Service: "s", Name: "a", Incarnation: 1}
	j := with(map[string]config.Policy{"p": p, "q": shadow})
	ds := j.Step(probe(1, "a", false))
	if kinds(ds) != "p bar,q bar" || ds[0].Shadow || !ds[1].Shadow {
		t.Fatal(ds)
	}
	if _, why := j.Ejected(2, id); why != "p" {
		t.Fatal(why)
	}
	p.When = "missed >= 5"
	j.Replace(&config.Config{Policies: map[string]config.Policy{"p": p, "q": shadow}})
	if _, why := j.Ejected(3, id); why != "p" {
		t.Fatalf("a changed policy's bar went: %q", why)
	}
	j.Replace(&config.Config{Policies: map[string]config.Policy{"q": shadow}})
	if _, why := j.Ejected(4, id); why != "" {
		t.Fatalf("a removed policy's bar stayed: %q", why)
	}
	shadow.Mode = "live"
	j.Replace(&config.Config{Policies: map[string]config.Policy{"q": shadow}})
	if _, why := j.Ejected(5, id); why != "" {
		t.Fatal("what a policy decided as a shadow took effect")
	}
}

// day makes a recording: four targets that serve and are probed, of which the
// first does as the fault says in the middle third.
func day(fault string) []Event {
	var l []Event
	for at := time.Second; at < 90*time.Second; at += 500 * time.Millisecond {
		for i, n := range []string{"a", "b", "c", "d"} {
			sick := i == 0 && at > 30*time.Second && at < 60*time.Second
			e := Event{At: at, Service: "s", Name: n, Incarnation: 1}
			pr, ex, be, de := e, e, e, e
			pr.Slice, pr.Success, pr.Milliseconds = "probe", true, 2
			ex.Slice, ex.Count, ex.Milliseconds = "exchange", 10, 200
			be.Slice, be.Success, be.State = "beat", true, wire.TargetReady
			de.Slice, de.Demand = "demand", 0.3
			beats := true
			if sick {
				switch fault {
				case "crash":
					pr.Success, ex.Errors, beats = false, 10, false
				case "failing":
					ex.Errors = 8
				case "slow":
					ex.Slow, ex.Milliseconds = 9, 9000
				case "pressed":
					de.Demand, ex.Slow, ex.Milliseconds = 0.97, 6, 4000
				case "flapping":
					pr.Success = at/(time.Second)%2 == 0
					if !pr.Success {
						ex.Errors = 9
					}
				case "halting":
					beats = at/(2*time.Second)%2 == 0
					if !beats {
						ex.Errors = 5
					}
				}
			}
			l = append(l, pr)
			if beats {
				l = append(l, be, de)
			} else {
				be.Success, be.Milliseconds = false, 1600
				l = append(l, be)
			}
			l = append(l, ex)
		}
	}
	return l
}

// Each shipped policy beats the default on the fault that it is for, and costs
// nothing on a healthy day.
func TestShippedPolicies(t *testing.T) {
	files, _ := filepath.Glob("../../../sample/policies/*.json")
	if len(files) < 4 {
		t.Fatal(files)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".json")
		b, err := os.ReadFile(f)
		p := config.Policy{Mode: "live"}
		faults, derr := config.Decode(b, &p)
		if err != nil || derr != nil || len(append(faults, Check(p)...)) > 0 {
			t.Fatal(f, err, derr, faults)
		}
		ps := map[string]config.Policy{"default": config.DefaultPolicy(), name: p}
		for _, s := range Compare(day("none"), ps) {
			if s.Ejections+s.WrongEjections+s.Transitions > 0 {
				t.Errorf("healthy day: %+v", s)
			}
		}
		l := Compare(day(name), ps)
		def, own := l[0], l[1]
		if def.Policy != "default" {
			def, own = own, def
		}
		t.Logf("%+v\n%+v", def, own)
		if own.Ejections == 0 || own.WrongEjections > 0 || own.MissedErrors+own.MissedSlow >= (def.MissedErrors+def.MissedSlow)*8/10 {
			t.Errorf("%s does not beat the default: %+v against %+v", name, own, def)
		}
	}
	if s := Compare(day("crash"), map[string]config.Policy{"default": config.DefaultPolicy()})[0]; s.Ejections != 1 || s.TimeToEjectMs != 500 || s.WrongEjections != 0 {
		t.Errorf("%+v", s)
	}
}

// Policies in the docs are sound, and comparing twice gives the same.
func TestDocs(t *testing.T) {
	b, err := os.ReadFile("../../../docs/policy.md")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, m := range regexp.MustCompile("(?s)```json\n(.*?)```").FindAllSubmatch(b, -1) {
		p := config.Policy{Mode: "live"}
		faults, err := config.Decode(m[1], &p)
		if err != nil || len(append(faults, Check(p)...)) > 0 {
			t.Errorf("%s\n%v %v %v", m[1], err, faults, Check(p))
		}
		n++
	}
	if n < 3 {
		t.Fatalf("%d examples", n)
	}
	x, _ := json.Marshal(Compare(day("flapping"), map[string]config.Policy{"default": config.DefaultPolicy()}))
	y, _ := json.Marshal(Compare(day("flapping"), map[string]config.Policy{"default": config.DefaultPolicy()}))
	if string(x) != string(y) {
		t.Fatal("two comparisons differ")
	}
}

// A stream of lines: events in, decisions out, a policy replaced in between, and
// lines that can't be taken answered one by one.
func TestSession(t *testing.T) {
	d := NewSession(&config.Config{})
	ev := func(ms int, ok bool) string {
		b, _ := json.Marshal(Event{At: time.Duration(ms) * time.Millisecond, Slice: "probe", Service: "s", Name: "a", Incarnation: 1, Success: ok})
		return string(b)
	}
	for i, c := range []struct{ in, want string }{
		{ev(0, true), ""},
		{ev(500, false), ""},
		{"not JSON", "error"},
		{`{"slice":"weather","service":"s","name":"a","incarnation":1}`, "error"},
		{`{"slice":"probe","service":"s","name":"a"}`, "error"},
		{ev(100, false), "error"}, // back in time: not counted as a miss
		{ev(1000, false), "bar"},
		{`{"event":` + ev(1500, true) + `}`, "clear"},
		{`{"decision":{"kind":"bar"}}`, ""},
		{`{"policies":{"default":{"slice":"probe","when":"nonsense","decide":"bar","ttl_ms":9}}}`, "error"},
		{ev(2000, false), ""},
		{`{"policies":{"default":{"slice":"probe","when":"missed >= 4","decide":"bar","ttl_ms":1000}}}`, "replaced"},
		{ev(2500, false), "bar"}, // the windows of before stand: 4 missed in all
		{ev(4000, true), "lapse bar"},
		{`{"policies":{"default":null}}`, "replaced"},
		{ev(4100, false), ""},
		{ev(5100, false), "lapse bar"}, // without a word on it the default is the design again
	} {
		var got []string
		for _, l := range d.Evaluate([]byte(c.in)) {
			if l.Line != uint64(i+1) {
				t.Errorf("line %d is called %d", i+1, l.Line)
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

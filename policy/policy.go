// Package policy turns target events into decisions. A policy is one condition
// over one slice of what is known of a target (probe, beat, request, demand)
// and one decision: an ejection, which lapses by itself, or a hold, which lasts until its
// clear condition holds, or while its condition does if it has none. A Judge is pure: events go in with their time, decisions
// come out, and the same events always give the same decisions, which is what
// shadow runs and comparisons rest on. A policy that fails to evaluate decides
// nothing, is counted, and what it had decided runs out.
package policy

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/vm"

	"github.com/cockroachdb/errors"

	"myrtlefold/limit"
	"myrtlefold/model"
	"myrtlefold/wire"
)

// Event is one thing learnt about a target. Only the fields of its slice count.
type Event struct {
	At      time.Duration `json:"at_ns"`
	Slice   string        `json:"slice"`
	Service string        `json:"service"`
	Name    string        `json:"name"`
	Inc     uint64        `json:"incarnation"`
	Ok      bool          `json:"ok,omitempty"`
	Ms      float64       `json:"ms,omitempty"`
	State   string        `json:"state,omitempty"`
	Count   int           `json:"count,omitempty"`
	Errors  int           `json:"errors,omitempty"`
	Slow    int           `json:"slow,omitempty"`
	Demand  float64       `json:"demand,omitempty"`
}

func (e *Event) ID() wire.ID { return wire.ID{Service: e.Service, Name: e.Name, Inc: e.Inc} }

// Decision is one change of a target's standing under one policy.
type Decision struct {
	At      time.Duration `json:"at_ns"`
	Policy  string        `json:"policy"`
	Kind    string        `json:"kind"` // bar, hold, clear, lapse
	Service string        `json:"service"`
	Name    string        `json:"name"`
	Inc     uint64        `json:"incarnation"`
	TtlMs   int64         `json:"ttl_ms,omitempty"`
	Shadow  bool          `json:"shadow,omitempty"`
	Why     string        `json:"why,omitempty"`
}

// The slices: what a condition may name, and nothing else.
type (
	Probe struct {
		Misses  int     `expr:"misses_in_row"`
		Oks     int     `expr:"ok_in_row"`
		Missed  int     `expr:"missed"`
		Samples int     `expr:"samples"`
		LastMs  float64 `expr:"last_ms"`
		MeanMs  float64 `expr:"mean_ms"`
		Flaps   int     `expr:"flaps"`
	}
	Beat struct {
		State   string  `expr:"state"`
		Silent  float64 `expr:"silent_ms"`
		GapMs   float64 `expr:"gap_ms"`
		MaxGap  float64 `expr:"max_gap_ms"`
		Changes int     `expr:"changes"`
		Samples int     `expr:"samples"`
	}
	Exchange struct {
		Count    int     `expr:"count"`
		Errors   int     `expr:"errors"`
		Ratio    float64 `expr:"error_ratio"`
		SvcCount int     `expr:"service_count"`
		SvcRatio float64 `expr:"service_error_ratio"`
		MeanMs   float64 `expr:"mean_ms"`
		SvcMs    float64 `expr:"service_mean_ms"`
		Slow     int     `expr:"slow"`
		LastErrs int     `expr:"errors_in_row"`
	}
	Demand struct {
		Demand  float64 `expr:"demand"`
		Mean    float64 `expr:"mean"`
		SvcMean float64 `expr:"service_mean"`
		Samples int     `expr:"samples"`
	}
)

var envs = map[string]any{"probe": Probe{}, "beat": Beat{}, "exchange": Exchange{}, "demand": Demand{}}

// exchangeWindow is how far the request and demand slices look back.
const exchangeWindow = limit.RetryWindow

type looper struct{ found string }

func (l *looper) Visit(n *ast.Node) {
	switch b := (*n).(type) {
	case *ast.BinaryNode:
		if b.Operator == ".." || b.Operator == "matches" || b.Operator == "**" || b.Operator == "^" {
			l.found = b.Operator
		}
	case *ast.BuiltinNode:
		l.found = b.Name
	}
}

func compile(slice, cond string) (*vm.Program, error) {
	l := &looper{}
	p, err := expr.Compile(cond, expr.Env(envs[slice]), expr.AsBool(), expr.MaxNodes(limit.PolicyNodes),
		expr.DisableAllBuiltins(), expr.EnableBuiltin("abs"), expr.EnableBuiltin("max"), expr.EnableBuiltin("min"), expr.Patch(l))
	if err == nil && l.found != "" && !slices.Contains([]string{"abs", "max", "min"}, l.found) {
		err = errors.Newf("%q costs too much to be used here", l.found)
	}
	return p, err
}

// Check lists a policy's faults by field.
func Check(p model.Policy) []model.Fault {
	var fs []model.Fault
	add := func(path, f string, a ...any) {
		fs = append(fs, model.Fault{Path: path, Text: fmt.Sprintf(f, a...)})
	}
	if _, ok := envs[p.Slice]; !ok {
		add("slice", "no slice %q: probe, beat, exchange or demand", p.Slice)
	} else {
		for _, c := range []struct{ f, s string }{{"when", p.When}, {"clear", p.Clear}} {
			if c.s == "" && c.f == "clear" {
				continue
			}
			if _, err := compile(p.Slice, c.s); err != nil {
				var fe *file.Error
				if errors.As(err, &fe) {
					add(c.f, "line %d, column %d: %s", fe.Line, fe.Column+1, fe.Message)
				} else {
					add(c.f, "%v", err)
				}
			}
		}
	}
	ttl := time.Duration(p.TtlMs) * time.Millisecond
	switch p.Decide {
	case "bar":
		if ttl <= 0 || ttl > limit.EjectionMaxTTL {
			add("ttl_ms", "a bar needs a ttl_ms between 1 and %d", limit.EjectionMaxTTL.Milliseconds())
		}
	case "hold":
		if p.TtlMs != 0 {
			add("ttl_ms", "a hold has none: it ends with its condition")
		}
	default:
		add("decide", "bar or hold, not %q", p.Decide)
	}
	if !slices.Contains([]string{"live", "shadow", "off"}, p.Mode) {
		add("mode", "live, shadow or off, not %q", p.Mode)
	}
	return fs
}

// CheckConfig is model.Parse with the judge's check of policies.
func CheckConfig(doc []byte) (*model.Config, []model.Fault, error) { return model.Parse(doc, Check) }

type policy struct {
	name    string
	p       model.Policy
	when    *vm.Program
	clear   *vm.Program
	machine vm.VM
	ran     uint64
	failed  uint64
	lastErr string
}

// mark is a policy's present word on a target.
type mark struct {
	until time.Duration
	hold  bool
}

type window struct {
	events []Event
	row    int // length of the present run of equal outcomes
	ok     bool
}

type Stat struct {
	Policy model.Policy `json:"policy"`
	Ran    uint64       `json:"evaluated"`
	Failed uint64       `json:"failed"`
	Error  string       `json:"last_error,omitempty"`
	Marks  int          `json:"targets_out"`
	Score  *Score       `json:"score,omitempty"`
}

type Judge struct {
	policies map[string]*policy
	sorted   []string // the policies' names
	windows  map[wire.ID]map[string]*window
	marks    map[wire.ID]map[string]mark
}

func New() *Judge {
	return &Judge{policies: map[string]*policy{}, windows: map[wire.ID]map[string]*window{}, marks: map[wire.ID]map[string]mark{}}
}

// Replace puts a configuration's policies in force. What a kept or changed ejection
// policy had decided stays until it lapses; a policy's marks go at once when it
// is removed, off, or goes between live and shadow.
func (j *Judge) Replace(c *model.Config) {
	next := map[string]*policy{}
	for name, p := range c.All() {
		if p.Mode == "off" {
			continue
		}
		if old := j.policies[name]; old != nil && old.p == p {
			next[name] = old
			continue
		}
		n := &policy{name: name, p: p}
		var err error
		if n.when, err = compile(p.Slice, p.When); err == nil && p.Clear != "" {
			n.clear, err = compile(p.Slice, p.Clear)
		}
		if err != nil {
			panic(errors.Wrapf(err, "policy %s was accepted", name))
		}
		next[name] = n
	}
	for _, ms := range j.marks {
		for name := range ms {
			if n, o := next[name], j.policies[name]; n == nil || o == nil || n.p.Mode != o.p.Mode || n.p.Decide != o.p.Decide {
				delete(ms, name)
			}
		}
	}
	j.policies, j.sorted = next, slices.Sorted(maps.Keys(next))
}

// Forget drops a target that is gone for good.
func (j *Judge) Forget(id wire.ID) {
	delete(j.windows, id)
	delete(j.marks, id)
}

// Barred says whether a live policy keeps a target out now, until when, and which.
func (j *Judge) Barred(now time.Duration, id wire.ID) (until time.Duration, why string) {
	if len(j.marks[id]) == 0 {
		return 0, ""
	}
	for _, name := range slices.Sorted(maps.Keys(j.marks[id])) {
		m, p := j.marks[id][name], j.policies[name]
		if p != nil && p.p.Mode == "live" && m.until > now && m.until > until {
			until, why = m.until, name
		}
	}
	return until, why
}

// Adopt takes over an ejection that an earlier leader had decided.
func (j *Judge) Adopt(now time.Duration, id wire.ID, policy string, left time.Duration) {
	if p := j.policies[policy]; p != nil && p.p.Mode == "live" && left > 0 {
		j.mark(id, policy, mark{until: now + min(left, limit.EjectionMaxTTL), hold: p.p.Decide == "hold"})
	}
}

func (j *Judge) mark(id wire.ID, policy string, m mark) {
	if j.marks[id] == nil {
		j.marks[id] = map[string]mark{}
	}
	j.marks[id][policy] = m
}

// Tick lets ejections lapse.
func (j *Judge) Tick(now time.Duration) []Decision {
	var out []Decision
	for _, id := range slices.SortedFunc(maps.Keys(j.marks), wire.ID.Compare) {
		for _, name := range slices.Sorted(maps.Keys(j.marks[id])) {
			if p := j.policies[name]; j.marks[id][name].until <= now {
				delete(j.marks[id], name)
				out = append(out, p.decision(now, "lapse", id, "time to live is over"))
			}
		}
		if len(j.marks[id]) == 0 {
			delete(j.marks, id)
		}
	}
	return out
}

func (p *policy) decision(now time.Duration, kind string, id wire.ID, why string) Decision {
	d := Decision{At: now, Policy: p.name, Kind: kind, Service: id.Service, Name: id.Name, Inc: id.Inc, Shadow: p.p.Mode == "shadow", Why: why}
	if kind == "bar" {
		d.TtlMs = int64(p.p.TtlMs)
	}
	return d
}

// Step takes one event and returns the decisions that it led to.
func (j *Judge) Step(e Event) []Decision {
	id := e.ID()
	if j.windows[id] == nil {
		j.windows[id] = map[string]*window{}
	}
	w := j.windows[id][e.Slice]
	if w == nil {
		w = &window{}
		j.windows[id][e.Slice] = w
	}
	good := e.Ok
	if e.Slice == "exchange" {
		good = e.Errors == 0
	}
	if w.ok != good {
		w.row = 0
	}
	w.ok = good
	w.row++
	w.events = append(w.events, e)
	if n := len(w.events) - limit.Window; n > 0 {
		w.events = w.events[n:]
	}
	env := j.env(id, e, w)
	var out []Decision
	for _, name := range j.names() {
		p := j.policies[name]
		if p.p.Slice != e.Slice {
			continue
		}
		hit, err := p.eval(p.when, env)
		clear := false
		if err == nil && !hit && p.clear != nil {
			clear, err = p.eval(p.clear, env)
		}
		if err != nil {
			continue
		}
		m, was := j.marks[id][name]
		switch {
		case hit && p.p.Decide == "hold":
			j.mark(id, name, mark{until: e.At + limit.EjectionTTL, hold: true})
			if !was {
				out = append(out, p.decision(e.At, "hold", id, p.p.When))
			}
		case hit:
			j.mark(id, name, mark{until: e.At + time.Duration(p.p.TtlMs)*time.Millisecond})
			if !was || m.until <= e.At {
				out = append(out, p.decision(e.At, "bar", id, p.p.When))
			}
		case was && (clear || m.hold && p.clear == nil):
			delete(j.marks[id], name)
			out = append(out, p.decision(e.At, "clear", id, cmp.Or(p.p.Clear, "condition is over")))
		}
	}
	return out
}

func (p *policy) eval(prog *vm.Program, env any) (bool, error) {
	p.ran++
	p.machine.MemoryBudget = limit.PolicyMemory
	v, err := p.machine.Run(prog, env)
	b, ok := v.(bool)
	if err == nil && !ok {
		err = errors.Newf("gave %T, not a bool", v)
	}
	if err != nil {
		p.failed++
		p.lastErr = err.Error()
	}
	return b, err
}

func (j *Judge) env(id wire.ID, e Event, w *window) any {
	switch e.Slice {
	case "probe":
		p := Probe{Samples: len(w.events), LastMs: e.Ms}
		if e.Ok {
			p.Oks = w.row
		} else {
			p.Misses = w.row
		}
		for i, x := range w.events {
			if !x.Ok {
				p.Missed++
			}
			p.MeanMs += x.Ms / float64(len(w.events))
			if i > 0 && w.events[i-1].Ok != x.Ok {
				p.Flaps++
			}
		}
		return p
	case "beat":
		b := Beat{State: e.State}
		if !e.Ok {
			b.Silent = e.Ms
		}
		var last *Event
		for i, x := range w.events {
			if !x.Ok {
				continue // silence, not a beat
			}
			if last != nil {
				gap := float64(x.At-last.At) / 1e6
				b.GapMs, b.MaxGap = gap, max(b.MaxGap, gap)
				if last.State != x.State {
					b.Changes++
				}
			}
			last = &w.events[i]
			b.Samples++
		}
		return b
	case "exchange":
		x := Exchange{}
		if !w.ok {
			x.LastErrs = w.row
		}
		sum := w.total(e.At)
		x.Count, x.Errors, x.Slow = sum.Count, sum.Errors, sum.Slow
		if x.Count > 0 {
			x.Ratio, x.MeanMs = float64(x.Errors)/float64(x.Count), sum.Ms/float64(x.Count)
		}
		rest := Event{}
		for _, ws := range j.others(id) {
			if ws["exchange"] != nil {
				t := ws["exchange"].total(e.At)
				rest.Count += t.Count
				rest.Errors += t.Errors
				rest.Ms += t.Ms
			}
		}
		x.SvcCount = rest.Count
		if rest.Count > 0 {
			x.SvcRatio, x.SvcMs = float64(rest.Errors)/float64(rest.Count), rest.Ms/float64(rest.Count)
		}
		return x
	}
	d := Demand{Demand: e.Demand, Samples: len(w.events)}
	for _, x := range w.events {
		d.Mean += x.Demand / float64(len(w.events))
	}
	n := 0.0
	for _, ws := range j.others(id) {
		if ws["demand"] == nil {
			continue
		}
		if l := ws["demand"].events; e.At-l[len(l)-1].At < exchangeWindow {
			d.SvcMean += l[len(l)-1].Demand
			n++
		}
	}
	if n > 0 {
		d.SvcMean /= n
	}
	return d
}

// others yields the windows of a service's other targets, in order so that sums
// of floats come out the same in every run.
func (j *Judge) others(id wire.ID) iter.Seq2[wire.ID, map[string]*window] {
	return func(yield func(wire.ID, map[string]*window) bool) {
		for _, o := range slices.SortedFunc(maps.Keys(j.windows), wire.ID.Compare) {
			if o.Service == id.Service && o != id && !yield(o, j.windows[o]) {
				return
			}
		}
	}
}

func (w *window) total(at time.Duration) (t Event) {
	for _, x := range w.events {
		if at-x.At <= exchangeWindow {
			t.Count += x.Count
			t.Errors += x.Errors
			t.Slow += x.Slow
			t.Ms += x.Ms
		}
	}
	return t
}

// names are the policies in force, in order.
func (j *Judge) names() []string { return j.sorted }

// Stats describes the policies in force by name.
func (j *Judge) Stats() map[string]Stat {
	out := map[string]Stat{}
	for name, p := range j.policies {
		s := Stat{Policy: p.p, Ran: p.ran, Failed: p.failed, Error: p.lastErr}
		for _, ms := range j.marks {
			if _, ok := ms[name]; ok {
				s.Marks++
			}
		}
		out[name] = s
	}
	return out
}

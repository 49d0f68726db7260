// This file compares policies on recorded target events. Each policy is run by
// itself over the same events; what it decided is held against what the events
// show, so a recording always gives the same scores.

package outlier

import (
	"bufio"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Score is how one policy did on a recording.
type Score struct {
	Policy            string  `json:"policy"`
	Events            int     `json:"events"`
	Ejections         int     `json:"bars"`        // ejections and holds begun
	WrongEjections    int     `json:"wrong_bars"`  // the target was serving well
	Errors            int     `json:"errors"`      // failed requests in the recording
	MissedErrors      int     `json:"missed"`      // of them, at targets that it had not taken out
	Slow              int     `json:"slow"`        // slow requests in the recording
	MissedSlow        int     `json:"missed_slow"` // of them, at targets that it had not taken out
	TimeToEjectMs     float64 `json:"to_bar_ms"`   // median from a trouble's first sign to the decision
	EjectedMs         float64 `json:"barred_ms"`   // all targets' time out together
	Transitions       int     `json:"moves"`       // times a target went out or came back
	FailedEvaluations uint64  `json:"failed_evaluations"`
}

const (
	trackEvents = 64  // events kept of each target
	delaysKept  = 256 // of which ToBarMs is the median
)

// serveSpan is how far back a target's events say whether it was serving well.
const serveSpan = 2 * time.Second

// track is what the events show of a target.
type track struct {
	events  []Event
	trouble time.Duration // first sign since all was well, 0: none
}

// serving reports whether the target has been answering well of late: no missed probe or heartbeat,
// and under a tenth of its requests failed or slow.
func (t *track) serving(now time.Duration) bool {
	n, bad := 0, 0
	for _, e := range t.events {
		if now-e.At > serveSpan {
			continue
		}
		switch e.Slice {
		case config.SliceRequest:
			n += e.Count
			bad += e.Errors + e.Slow
		case config.SliceProbe, config.SliceHeartbeat:
			if !e.Success {
				return false
			}
		}
	}
	return n > 0 && bad*10 < n
}

// Scorer keeps the scores of a judge's policies, live and shadow ones, while it
// judges. Each is scored by its own word on a target, whatever the others decide.
type Scorer struct {
	j      *Detector
	tracks map[wire.TargetID]*track
	scores map[string]*tally
}

type tally struct {
	Score
	of    config.Policy
	out   map[wire.TargetID]time.Duration // since when it has kept a target out
	toBar []float64
}

// NewScorer returns a Scorer of a Judge, whose events and ticks must all go through it.
func NewScorer(j *Detector) *Scorer {
	return &Scorer{j: j, tracks: map[wire.TargetID]*track{}, scores: map[string]*tally{}}
}

// Step has the Judge take an event and scores what came of it; it returns the Judge's decisions.
func (s *Scorer) Step(e Event) []Decision {
	id := e.ID()
	t := s.tracks[id]
	if t == nil {
		t = &track{}
		s.tracks[id] = t
	}
	for _, name := range s.j.names() {
		p := s.j.policies[name].spec
		y := s.scores[name]
		if y == nil || y.of != p {
			y = &tally{Score: Score{Policy: name}, of: p, out: map[wire.TargetID]time.Duration{}}
			s.scores[name] = y
		}
		y.Events++
		if e.Slice == config.SliceRequest {
			_, out := y.out[id]
			y.Errors += e.Errors
			y.Slow += e.Slow
			if !out {
				y.MissedErrors += e.Errors
				y.MissedSlow += e.Slow
			}
		}
	}
	bad := (e.Slice == config.SliceProbe || e.Slice == config.SliceHeartbeat) && !e.Success || e.Slice == config.SliceRequest && (e.Errors+e.Slow)*2 > e.Count
	good := e.Slice == config.SliceProbe && e.Success && t.lastBad() == config.SliceProbe || e.Slice == config.SliceRequest && t.lastBad() != config.SliceProbe && e.Count > 0 && (e.Errors+e.Slow)*10 < e.Count
	if bad && t.trouble == 0 {
		t.trouble = e.At
	} else if good {
		t.trouble = 0
	}
	t.events = append(t.events, e)
	if len(t.events) > trackEvents {
		t.events = t.events[1:]
	}
	ds := s.j.Step(e)
	for name, y := range s.scores {
		if s.j.policies[name] == nil {
			delete(s.scores, name)
			continue
		}
		s.turn(e.At, y, name, id)
	}
	return ds
}

// Tick is Judge.Tick, scored.
func (s *Scorer) Tick(now time.Duration) []Decision {
	ds := s.j.Tick(now)
	for _, d := range ds {
		if y := s.scores[d.Policy]; y != nil {
			s.turn(now, y, d.Policy, wire.TargetID{Service: d.Service, Name: d.Name, Incarnation: d.Incarnation})
		}
	}
	return ds
}

// turn scores a target's going out under a policy, or coming back.
func (s *Scorer) turn(now time.Duration, y *tally, name string, id wire.TargetID) {
	m, marked := s.j.marks[id][name]
	out := marked && m.until > now
	at, was := y.out[id]
	t := s.tracks[id]
	if out == was || t == nil {
		return
	}
	y.Transitions++
	if !out {
		delete(y.out, id)
		y.EjectedMs += milliseconds(now - at)
		return
	}
	y.out[id] = now
	y.Ejections++
	if t.serving(now) {
		y.WrongEjections++
	}
	if t.trouble > 0 {
		y.toBar = append(y.toBar, milliseconds(now-t.trouble))
		if len(y.toBar) > delaysKept {
			y.toBar = y.toBar[1:]
		}
	}
}

// Forget drops a target that is gone for good.
func (s *Scorer) Forget(now time.Duration, id wire.TargetID) {
	for _, y := range s.scores {
		if at, out := y.out[id]; out {
			y.EjectedMs += milliseconds(now - at)
			delete(y.out, id)
		}
	}
	delete(s.tracks, id)
	s.j.Forget(id)
}

// Scores returns the policies' scores as of now, by name.
func (s *Scorer) Scores(now time.Duration) map[string]Score {
	l := map[string]Score{}
	for name, y := range s.scores {
		x := y.Score
		for _, at := range y.out {
			x.EjectedMs += milliseconds(now - at)
		}
		if len(y.toBar) > 0 {
			x.TimeToEjectMs = slices.Sorted(slices.Values(y.toBar))[len(y.toBar)/2]
		}
		if p := s.j.policies[name]; p != nil {
			x.FailedEvaluations = p.failed
		}
		l[name] = x
	}
	return l
}

// Compare scores each of the policies by itself on the events, and returns the scores in order of
// their names.
func Compare(events []Event, policies map[string]config.Policy) []Score {
	cfg := &config.Config{Policies: map[string]config.Policy{}}
	for name, p := range policies {
		p.Mode = config.ModeShadow
		cfg.Policies[name] = p
	}
	j := New()
	j.Replace(cfg)
	s := NewScorer(j)
	var last time.Duration
	for _, e := range events {
		s.Tick(e.At)
		s.Step(e)
		last = e.At
	}
	all := s.Scores(last)
	var out []Score
	for _, name := range slices.Sorted(maps.Keys(policies)) {
		out = append(out, all[name])
	}
	return out
}

// lastBad is the slice of the latest bad event.
func (t *track) lastBad() config.Slice {
	for _, e := range slices.Backward(t.events) {
		if e.Slice == config.SliceProbe && !e.Success || e.Slice == config.SliceRequest && e.Errors+e.Slow > 0 {
			return e.Slice
		}
	}
	return ""
}

// ReadEvents reads JSON lines and passes each event to each: bare events, or a stream's lines, of
// which only those with an event count. It returns the first error, with the line's number.
func ReadEvents(r io.Reader, each func(Event) error) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, tuning.SessionLineMax)
	for n := 1; sc.Scan(); n++ {
		l, err := parseLine(sc.Bytes())
		if err != nil {
			return errors.Wrapf(err, "line %d", n)
		}
		if l.Event == nil {
			continue
		}
		if err := each(*l.Event); err != nil {
			return err
		}
	}
	return sc.Err()
}

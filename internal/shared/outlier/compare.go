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
)

// Compare scores each policy independently on the same recorded events and returns the scores sorted by
// policy name. The same recording always gives the same scores.
func Compare(events []Event, policies map[string]config.Policy) []Score {
	cfg := &config.Config{Policies: map[string]config.Policy{}}
	for name, p := range policies {
		p.Mode = config.ModeShadow
		cfg.Policies[name] = p
	}
	detector := New()
	detector.Replace(cfg)
	scorer := NewScorer(detector)
	var last time.Duration
	for _, e := range events {
		scorer.Tick(e.At)
		scorer.Step(e)
		last = e.At
	}
	all := scorer.Scores(last)
	var scores []Score
	for _, name := range slices.Sorted(maps.Keys(policies)) {
		scores = append(scores, all[name])
	}
	return scores
}

// ReadEvents reads JSON lines and calls handle for each event. A line is either an event or an object
// with the event in its field "event", as in a stream; other lines of a stream are skipped. ReadEvents stops
// at the first error; a syntax error is returned with its line number.
func ReadEvents(input io.Reader, handle func(Event) error) error {
	lines := bufio.NewScanner(input)
	lines.Buffer(nil, tuning.SessionLineMax)
	for n := 1; lines.Scan(); n++ {
		line, err := parseLine(lines.Bytes())
		if err != nil {
			return errors.Wrapf(err, "line %d", n)
		}
		if line.Event == nil {
			continue
		}
		if err := handle(*line.Event); err != nil {
			return err
		}
	}
	return lines.Err()
}

// This file is the retry budget: what a service's targets may get beyond the first
// target of each request. A proxy earns a little less than the ratio with each
// request, and its part of the slack with time. What it may have saved up at a
// window's start and what it earns within stay, summed over the fleet, under ratio
// and slack, whichever proxies start anew: a new life begins with nothing.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/tuning"
)

type retryCredit struct {
	credit    float64
	slack     float64       // of the slack, set with each table
	updatedAt time.Duration // up to when that is in credit
	started   bool
	counts    [tuning.WindowBuckets]struct{ slice, n int64 }
}

// holders is how many of the listed proxies share a slack: as many as get enough to
// save one whole repeat up.
func (r RetryBudget) slackHolders(listed int) int { return max(1, min(listed, int(r.Slack/2))) }

// slack is a proxy's part of the slack: those that a draw by service puts first have
// it. While a change of the roster is under way only those that both rosters draw do,
// and the smaller part, so that no two tables which stand together give more.
func (r RetryBudget) slackOf(svc uint64, self string, lists ...[]string) float64 {
	least := 0.0
	for i, names := range lists {
		if len(names) == 0 && i > 0 {
			continue
		}
		n := r.slackHolders(len(names))
		if !isAmongFirst(svc, self, names, n) {
			return 0
		}
		if part := r.Slack / float64(n); i == 0 || part < least {
			least = part
		}
	}
	return least
}

// countRequest takes a request in.
func (b *retryCredit) countRequest(now time.Duration, r RetryBudget) {
	b.addSlack(now, r)
	b.credit += r.Ratio * tuning.RetryEarn
	s := int64(now / (r.Window / tuning.WindowBuckets))
	c := &b.counts[s%tuning.WindowBuckets]
	if c.slice != s {
		c.slice, c.n = s, 0
	}
	c.n++
	b.limit(now, r)
}

// addSlack adds the slack's part for the time since; half of it may be saved up and half
// comes back over a window, so that a window never sees more than the whole.
func (b *retryCredit) addSlack(now time.Duration, r RetryBudget) {
	if b.started {
		b.credit += b.slack / 2 * float64(now-b.updatedAt) / float64(r.Window)
	}
	b.started, b.updatedAt = true, now
	b.limit(now, r)
}

func (b *retryCredit) limit(now time.Duration, r RetryBudget) {
	s, recent := int64(now/(r.Window/tuning.WindowBuckets)), int64(0)
	for _, c := range b.counts {
		if c.slice > s-tuning.WindowBuckets {
			recent += c.n
		}
	}
	b.credit = min(b.credit, b.slack/2+r.Ratio*tuning.RetrySave*float64(recent))
}

// has says whether one may be spent.
func (b *retryCredit) available(now time.Duration, r RetryBudget) bool {
	b.addSlack(now, r)
	return b.credit >= 1
}

func (b *retryCredit) spend() { b.credit-- }

// This file is the retry budget: how many attempts a service's targets may get beyond the first one of each
// request. A proxy earns a little less than the ratio with each request, and its share of the slack with time. What it
// may have saved up at the beginning of a window and what it earns within stay, summed over all proxies, under ratio
// and slack, also if proxies restart: a new process begins with nothing.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/tuning"
)

// RetryBudget bounds what a service's targets get beyond the first attempt of each request: over all
// proxies, in any window, Ratio of the requests and Slack more.
type RetryBudget struct {
	Ratio  float64
	Window time.Duration
	Slack  float64 // attempts
}

// bucket is the index of the part of a window that a time falls into.
func (r RetryBudget) bucket(now time.Duration) int64 {
	return int64(now / (r.Window / tuning.WindowBuckets))
}

// slackSharers is how many of the member proxies share the slack: as many as get enough to save up one
// whole retry.
func (r RetryBudget) slackSharers(members int) int { return max(1, min(members, int(r.Slack/2))) }

// slackOf is a proxy's share of the slack, by its name and the hash of the service: some proxies of the first membership
// are drawn to share it. While a change of the membership is under way, only a proxy that both memberships draw has a
// share, the smaller one, so that no two tables which are in force together give more than the slack.
func (r RetryBudget) slackOf(serviceHash uint64, self string, memberships ...[]string) float64 {
	smallest := 0.0
	for i, names := range memberships {
		if len(names) == 0 && i > 0 {
			continue
		}
		sharing := r.slackSharers(len(names))
		if !isDrawn(serviceHash, self, names, sharing) {
			return 0
		}
		if share := r.Slack / float64(sharing); i == 0 || share < smallest {
			smallest = share
		}
	}
	return smallest
}

// retryBudgetSlack is this proxy's share of the slack of a service's retry budget.
func (p *Proxy) retryBudgetSlack(serviceName string) float64 {
	return p.settings.Retry.slackOf(hashOf(serviceName), p.settings.Self.Name, p.memberProxies, p.table.PreviousProxies)
}

// retryCredit is what this proxy may spend of a service's retry budget.
type retryCredit struct {
	credit    float64       // attempts
	slack     float64       // this proxy's share of the slack, set with each table
	updatedAt time.Duration // up to when the slack is in the credit
	started   bool
	counts    [tuning.WindowBuckets]bucketCount // a ring, indexed by the bucket
}

// bucketCount is how many requests came within a bucket.
type bucketCount struct{ bucket, requests int64 }

// countRequest takes a request in.
func (c *retryCredit) countRequest(now time.Duration, budget RetryBudget) {
	c.addSlack(now, budget)
	c.credit += budget.Ratio * tuning.RetryEarn
	bucket := budget.bucket(now)
	count := &c.counts[bucket%tuning.WindowBuckets]
	if count.bucket != bucket {
		*count = bucketCount{bucket: bucket}
	}
	count.requests++
	c.limit(now, budget)
}

// addSlack adds what the slack gives for the time since the last call. Half of it may be saved up and half comes
// back over a window, so that a window never sees more than all of it.
func (c *retryCredit) addSlack(now time.Duration, budget RetryBudget) {
	if c.started {
		c.credit += c.slack / 2 * float64(now-c.updatedAt) / float64(budget.Window)
	}
	c.started, c.updatedAt = true, now
	c.limit(now, budget)
}

// limit bounds what may be saved up.
func (c *retryCredit) limit(now time.Duration, budget RetryBudget) {
	bucket, recent := budget.bucket(now), int64(0)
	for _, count := range c.counts {
		if count.bucket > bucket-tuning.WindowBuckets {
			recent += count.requests
		}
	}
	c.credit = min(c.credit, c.slack/2+budget.Ratio*tuning.RetrySave*float64(recent))
}

// available reports whether a retry may be spent.
func (c *retryCredit) available(now time.Duration, budget RetryBudget) bool {
	c.addSlack(now, budget)
	return c.credit >= 1
}

// spend takes one retry off.
func (c *retryCredit) spend() { c.credit-- }

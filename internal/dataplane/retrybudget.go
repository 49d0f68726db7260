// The retry budget limits how many attempts a service's targets get beyond the first one of each request. Each
// request adds a little less than Ratio to a proxy's credit, and the proxy's share of Slack is added over time.
// The credit that all proxies had saved up before a window plus what they earn within it is at most Ratio times
// the number of requests plus Slack. This holds even if proxies restart, since a new process starts without
// credit.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/tuning"
)

// RetryBudget limits the attempts that a service's targets get beyond the first of each request. Over all
// proxies and in any time span of length Window, there are at most Ratio times the number of requests plus Slack
// such attempts.
type RetryBudget struct {
	Ratio  float64 // attempts per request
	Window time.Duration
	Slack  float64 // number of attempts
}

// bucket returns the index of the time bucket that contains now. A window has tuning.WindowBuckets buckets.
func (r RetryBudget) bucket(now time.Duration) int64 {
	return int64(now / (r.Window / tuning.WindowBuckets))
}

// slackSharers returns how many of the member proxies share the slack: so few that each can save up at least
// one whole retry.
func (r RetryBudget) slackSharers(members int) int { return max(1, min(members, int(r.Slack/2))) }

// slackShare returns a proxy's share of the slack, given the current members and the previous ones, which are
// empty unless a membership change is under way. The members with a share are selected by rendezvous hashing with
// the hash of the service. While a membership change is under way, a proxy has a share only if it is
// selected from both memberships, and gets the smaller of the two shares. So two tables that are in use at the
// same time never give out more than the slack.
func (r RetryBudget) slackShare(serviceHash uint64, self string, memberships ...[]string) float64 {
	smallest := 0.0
	for i, names := range memberships {
		if len(names) == 0 && i > 0 {
			continue
		}
		sharing := r.slackSharers(len(names))
		if !rendezvousSelects(serviceHash, self, names, sharing) {
			return 0
		}
		if share := r.Slack / float64(sharing); i == 0 || share < smallest {
			smallest = share
		}
	}
	return smallest
}

// retryBudgetSlack returns this proxy's share of the slack of a service's retry budget.
func (p *Proxy) retryBudgetSlack(serviceName string) float64 {
	return p.settings.Retry.slackShare(hashString(serviceName), p.settings.Self.Name, p.memberProxies, p.table.PreviousProxies)
}

// retryCredit tracks this proxy's part of a service's retry budget.
type retryCredit struct {
	credit    float64                           // retries that may be spent now
	slack     float64                           // this proxy's share of the slack, updated with each table
	updatedAt time.Duration                     // when the slack was last added to the credit
	started   bool                              // updatedAt has been set
	counts    [tuning.WindowBuckets]bucketCount // a ring buffer, indexed by the bucket modulo its length
}

// bucketCount is the number of requests within one time bucket.
type bucketCount struct{ bucket, requests int64 }

// countRequest adds the credit that a request earns.
func (c *retryCredit) countRequest(now time.Duration, budget RetryBudget) {
	c.addSlack(now, budget)
	c.credit += budget.Ratio * tuning.RetryCreditPerRequest
	bucket := budget.bucket(now)
	count := &c.counts[bucket%tuning.WindowBuckets]
	if count.bucket != bucket {
		*count = bucketCount{bucket: bucket}
	}
	count.requests++
	c.capCredit(now, budget)
}

// addSlack adds the slack earned since the last call. Half of the slack may be saved up and the other half is
// earned over one window, so that no window exceeds the whole slack.
func (c *retryCredit) addSlack(now time.Duration, budget RetryBudget) {
	if c.started {
		c.credit += c.slack / 2 * float64(now-c.updatedAt) / float64(budget.Window)
	}
	c.started, c.updatedAt = true, now
	c.capCredit(now, budget)
}

// capCredit limits the credit that may be saved up to half of the slack and a part of what the requests of the
// last window earned.
func (c *retryCredit) capCredit(now time.Duration, budget RetryBudget) {
	bucket, recent := budget.bucket(now), int64(0)
	for _, count := range c.counts {
		if count.bucket > bucket-tuning.WindowBuckets {
			recent += count.requests
		}
	}
	c.credit = min(c.credit, c.slack/2+budget.Ratio*tuning.RetryCarryOver*float64(recent))
}

// available reports whether there is credit for one retry.
func (c *retryCredit) available(now time.Duration, budget RetryBudget) bool {
	c.addSlack(now, budget)
	return c.credit >= 1
}

// spend charges one retry.
func (c *retryCredit) spend() { c.credit-- }

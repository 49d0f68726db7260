package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/verification/requestlog"
)

const (
	maxExamples  = 20   // maximum number of examples in a report
	leaveGraceMs = 2000 // time for which a target may still get requests after it announced that it is leaving, in ms
)

// clientGroup groups clients by their behavior after an error response of a proxy.
type clientGroup string

// The groups of clients. The values are the names of the groups in the report.
const (
	clientsWithoutRetries clientGroup = "polite"  // do not retry
	clientsWithRetries    clientGroup = "at_once" // retry immediately
)

// outcomeClass is the class under which an outcome is counted.
type outcomeClass string

// The classes of outcomes. classOffered counts all requests.
const (
	classOffered    outcomeClass = "offered"
	classServed     outcomeClass = "served"
	classRejected   outcomeClass = "refused"
	classUnknown    outcomeClass = "unknown"   // response that leaves open whether the request ran to its end
	classUnanswered outcomeClass = "no_answer" // no complete response, or not sent because too many requests were in flight
	classWrong      outcomeClass = "wrong"
)

// collector accumulates the outcomes of a run and creates the report.
type collector struct {
	report             *report
	latencies          []float64                    // of served requests, in ms
	rejectionLatencies []float64                    // of rejected requests, in ms
	latenciesByKind    map[string][]float64         // of served requests, by requestKind.Name, in ms
	latenciesByGroup   map[clientGroup][]float64    // of served requests, in ms
	rejected           map[string]bool              // ids of rejected requests, which must not have run
	notIdempotent      map[string]bool              // ids of requests that must not run twice
	seconds            map[int]map[outcomeClass]int // counts by the second in which requests were due
	begin              time.Time                    // start of the run
}

func newCollector() *collector {
	return &collector{
		report: &report{
			Latencies:   quantiles{},
			Kinds:       map[string]quantiles{},
			RetryAfters: map[string]int{},
			Groups:      map[clientGroup]*groupReport{clientsWithoutRetries: {}, clientsWithRetries: {}},
		},
		latenciesByKind:  map[string][]float64{},
		latenciesByGroup: map[clientGroup][]float64{},
		rejected:         map[string]bool{},
		notIdempotent:    map[string]bool{},
		seconds:          map[int]map[outcomeClass]int{},
		begin:            time.Now(),
	}
}

// add records an outcome.
func (c *collector) add(result outcome) {
	c.report.Offered++
	if result.kind.Method == http.MethodPost {
		c.notIdempotent[result.id] = true
	}
	name := clientsWithoutRetries
	if result.retriesAtOnce {
		name = clientsWithRetries
	}
	group := c.report.Groups[name]
	group.Requests++
	if result.retry == 0 {
		group.Clients++
	}
	second := int(result.due.Sub(c.begin).Seconds())
	if c.seconds[second] == nil {
		c.seconds[second] = map[outcomeClass]int{}
	}
	class := result.class()
	c.seconds[second][classOffered]++
	c.seconds[second][class]++
	c.count(result, class, name)
}

// class returns the class of the outcome.
func (o *outcome) class() outcomeClass {
	switch {
	case o.wrong != "":
		return classWrong
	case o.err != "":
		return classUnanswered
	case o.ran == ranNo:
		return classRejected
	case o.ran == ranUnknown || o.status >= http.StatusInternalServerError:
		return classUnknown
	}
	return classServed
}

// count updates the counters and latencies of the outcome's class.
func (c *collector) count(result outcome, class outcomeClass, group clientGroup) {
	report := c.report
	milliseconds := result.seconds * 1000
	switch class {
	case classWrong:
		report.Wrong++
		if result.mismatched {
			report.Mismatched++
		}
		report.addExample("%s %s: %s", result.kind.Name, result.id, result.wrong)
	case classUnanswered:
		report.Unanswered++
		report.addExample("%s %s: %s", result.kind.Name, result.id, result.err)
	case classRejected:
		report.Rejected++
		c.rejected[result.id] = true
		c.rejectionLatencies = append(c.rejectionLatencies, milliseconds)
		if result.retryAfter == "" && result.status == http.StatusServiceUnavailable {
			report.WithoutRetryAfter++
		}
		report.RetryAfters[result.retryAfter]++
		report.addExample("%s %s: %d %s", result.kind.Name, result.id, result.status, result.code)
	case classUnknown:
		report.Unknown++
		report.addExample("%s %s: %d %s %s", result.kind.Name, result.id, result.status, result.ran, result.code)
	case classServed:
		report.Served++
		report.Groups[group].Served++
		c.latencies = append(c.latencies, milliseconds)
		c.latenciesByKind[result.kind.Name] = append(c.latenciesByKind[result.kind.Name], milliseconds)
		c.latenciesByGroup[group] = append(c.latenciesByGroup[group], milliseconds)
	}
}

// checkRequestLogs reads the back ends' request logs and counts violations by the requests whose ids begin with prefix:
// non-idempotent requests that ran more than once, and requests that ran although they were rejected, at the wrong
// service, or at a target that had been leaving for too long.
func (c *collector) checkRequestLogs(dir, prefix string) error {
	ran := map[string]int{}
	err := requestlog.ReadAll(dir, func(entry requestlog.Entry) {
		if strings.HasPrefix(entry.ID, prefix) {
			ran[entry.ID]++
			c.checkEntry(entry)
		}
	})
	for id, times := range ran {
		if times > 1 && c.notIdempotent[id] {
			c.report.RanTwice++
			c.report.addExample("request %s is not idempotent but ran %d times", id, times)
		}
		if c.rejected[id] {
			c.report.RanThoughRejected++
			c.report.addExample("request %s was rejected but ran", id)
		}
	}
	return err
}

// checkEntry counts a request that ran at the wrong service, or at a target that had been leaving for too long.
func (c *collector) checkEntry(entry requestlog.Entry) {
	if entry.IntendedService != "" {
		c.report.Misrouted++
		c.report.addExample("request %s was intended for service %s but ran at %s", entry.ID, entry.IntendedService, entry.Name)
	}
	c.report.MaxLeavingForMs = max(c.report.MaxLeavingForMs, entry.LeavingForMs)
	if entry.LeavingForMs > leaveGraceMs {
		c.report.PastLeaveGrace++
		c.report.addExample("request %s ran at %s, which had been leaving for %d ms", entry.ID, entry.Name, entry.LeavingForMs)
	}
}

// addExample adds the description of a request that was not served, or violated a requirement, to the report, up to
// maxExamples.
func (r *report) addExample(format string, arguments ...any) {
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf(format, arguments...))
	}
}

// finish completes and returns the report. It must be called after the last outcome was added.
func (c *collector) finish(opts options) *report {
	report := c.report
	report.Goodput = float64(report.Served) / opts.duration.Seconds()
	report.Latencies = newQuantiles(c.latencies)
	for kind, latencies := range c.latenciesByKind {
		report.Kinds[kind] = newQuantiles(latencies)
	}
	for group, latencies := range c.latenciesByGroup {
		report.Groups[group].Latencies = newQuantiles(latencies)
	}
	report.RejectionMedianMs = newQuantiles(c.rejectionLatencies)[median]
	if opts.perSecond {
		for _, second := range slices.Sorted(maps.Keys(c.seconds)) {
			report.PerSecond = append(report.PerSecond, c.seconds[second])
		}
	}
	return report
}

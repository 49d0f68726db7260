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
	examplesMax  = 20   // in a report
	leaveGraceMs = 2000 // how long after it said so a leaving target may get requests
)

// clientGroup is a kind of clients, by what they do when they are rejected.
type clientGroup string

// The groups of clients.
const (
	patientClients   clientGroup = "polite"  // they don't retry
	impatientClients clientGroup = "at_once" // they retry at once
)

// outcomeClass is what an outcome counts as.
type outcomeClass string

// The classes of outcomes; offered counts them all.
const (
	classOffered  outcomeClass = "offered"
	classServed   outcomeClass = "served"
	classRejected outcomeClass = "refused"
	classUnknown  outcomeClass = "unknown"
	classNone     outcomeClass = "no_answer"
	classWrong    outcomeClass = "wrong"
)

// collector is what a run saw so far, from which its report is made.
type collector struct {
	report             *report
	latencies          []float64 // of responses, in ms
	rejectionLatencies []float64
	latenciesByKind    map[string][]float64 // by the name of the kind of request
	latenciesByGroup   map[clientGroup][]float64
	rejected           map[string]bool // ids of requests that did not run
	notIdempotent      map[string]bool // ids of requests that must not run twice
	seconds            map[int]map[outcomeClass]int
	begin              time.Time
}

func newCollector() *collector {
	return &collector{
		report: &report{
			Latencies:   quantiles{},
			Kinds:       map[string]quantiles{},
			RetryAfters: map[string]int{},
			Groups:      map[clientGroup]*groupReport{patientClients: {}, impatientClients: {}},
		},
		latenciesByKind:  map[string][]float64{},
		latenciesByGroup: map[clientGroup][]float64{},
		rejected:         map[string]bool{},
		notIdempotent:    map[string]bool{},
		seconds:          map[int]map[outcomeClass]int{},
		begin:            time.Now(),
	}
}

// add counts one outcome.
func (c *collector) add(result outcome) {
	c.report.Offered++
	if result.kind.Method == http.MethodPost {
		c.notIdempotent[result.id] = true
	}
	name := patientClients
	if result.impatient {
		name = impatientClients
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

// class is what an outcome counts as.
func (o *outcome) class() outcomeClass {
	switch {
	case o.wrong != "":
		return classWrong
	case o.err != "":
		return classNone
	case o.ran == ranNo:
		return classRejected
	case o.ran == ranUnknown || o.status >= http.StatusInternalServerError:
		return classUnknown
	}
	return classServed
}

// count counts an outcome by its class.
func (c *collector) count(result outcome, class outcomeClass, group clientGroup) {
	report := c.report
	milliseconds := result.seconds * 1000
	switch class {
	case classWrong:
		report.Wrong++
		if result.others {
			report.Others++
		}
		report.addExample("%s %s: %s", result.kind.Name, result.id, result.wrong)
	case classNone:
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

// checkRequestLogs reads the back ends' logs of the requests whose ids begin with prefix, and counts what should not
// have run.
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
			c.report.addExample("%s ran %d times", id, times)
		}
		if c.rejected[id] {
			c.report.RanThoughRejected++
			c.report.addExample("%s ran though refused", id)
		}
	}
	return err
}

// checkEntry counts a request that ran at the wrong target.
func (c *collector) checkEntry(entry requestlog.Entry) {
	if entry.IntendedService != "" {
		c.report.Misrouted++
		c.report.addExample("%s was meant for %s, ran at %s", entry.ID, entry.IntendedService, entry.Name)
	}
	c.report.LatestToLeavingMs = max(c.report.LatestToLeavingMs, entry.LeavingForMs)
	if entry.LeavingForMs > leaveGraceMs {
		c.report.PastLeaveGrace++
		c.report.addExample("%s ran at %s, leaving for %d ms", entry.ID, entry.Name, entry.LeavingForMs)
	}
}

// addExample keeps some of what was not as it should be, for people.
func (r *report) addExample(format string, arguments ...any) {
	if len(r.Examples) < examplesMax {
		r.Examples = append(r.Examples, fmt.Sprintf(format, arguments...))
	}
}

// finish makes the report, after the last outcome.
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

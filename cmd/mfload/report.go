package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// report is what a run saw.
type report struct {
	Seconds           float64                      `json:"seconds"`
	Offered           int                          `json:"offered"`
	Served            int                          `json:"served"`
	Rejected          int                          `json:"refused"`
	Unknown           int                          `json:"unknown"`
	Unanswered        int                          `json:"no_answer"`
	WithoutRetryAfter int                          `json:"refused_without_retry_after"`
	Wrong             int                          `json:"wrong_answers"`
	Others            int                          `json:"answers_of_others"`
	RanTwice          int                          `json:"ran_twice"`
	RanThoughRejected int                          `json:"ran_though_refused"`
	Misrouted         int                          `json:"wrong_service"`
	PastLeaveGrace    int                          `json:"to_leaving_after_2s"`
	LatestToLeavingMs int64                        `json:"latest_to_leaving_ms"`
	Goodput           float64                      `json:"goodput_per_s"`
	RejectionMedianMs float64                      `json:"refusal_median_ms"`
	Latencies         quantiles                    `json:"latency_ms"`
	Kinds             map[string]quantiles         `json:"kinds"`
	Groups            map[clientGroup]*groupReport `json:"groups"`
	RetryAfters       map[string]int               `json:"retry_after,omitempty"` // rejections by their header Retry-After
	PerSecond         []map[outcomeClass]int       `json:"per_second,omitempty"`
	Examples          []string                     `json:"examples,omitempty"`
}

// groupReport is what the clients of one group got, however often they retried.
type groupReport struct {
	Clients   int       `json:"user_agents"`
	Requests  int       `json:"asked"`
	Served    int       `json:"user_agents_served"`
	Latencies quantiles `json:"latency_ms"`
}

// quantiles are some quantiles of times in ms by name, and how many times there are, as count.
type quantiles map[string]float64

// median is the name of the median.
const median = "p50"

// newQuantiles sorts the times; without any it is empty.
func newQuantiles(times []float64) quantiles {
	q := quantiles{}
	if len(times) == 0 {
		return q
	}
	slices.Sort(times)
	for name, part := range map[string]float64{median: 0.5, "p90": 0.9, "p99": 0.99, "max": 1} {
		q[name] = times[min(len(times)-1, int(part*float64(len(times))))]
	}
	q["count"] = float64(len(times))
	return q
}

// broken reports whether anything is not as it must be, however much was rejected.
func (r *report) broken() bool {
	return r.Wrong+r.RanTwice+r.RanThoughRejected+r.Misrouted+r.PastLeaveGrace+r.WithoutRetryAfter > 0
}

// print prints the report for people.
func (r *report) print(w io.Writer) {
	fmt.Fprintf(w, "offered %d, served %d (%.0f/s), refused %d, unknown %d, no answer %d in %.1f s\n",
		r.Offered, r.Served, r.Goodput, r.Rejected, r.Unknown, r.Unanswered, r.Seconds)
	fmt.Fprintf(w, "latency ms from due: p50 %.1f p90 %.1f p99 %.1f max %.1f; refusals p50 %.1f\n",
		r.Latencies[median], r.Latencies["p90"], r.Latencies["p99"], r.Latencies["max"], r.RejectionMedianMs)
	for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
		kind := r.Kinds[name]
		fmt.Fprintf(w, "  %-12s %6.0f  p50 %.1f p99 %.1f\n", name, kind["count"], kind[median], kind["p99"])
	}
	for _, name := range []clientGroup{patientClients, impatientClients} {
		group := r.Groups[name]
		fmt.Fprintf(w, "  %-12s %6d user agents asked %d times, %d were served  p50 %.1f p99 %.1f\n",
			name, group.Clients, group.Requests, group.Served, group.Latencies[median], group.Latencies["p99"])
	}
	fmt.Fprintf(w, "ran twice %d, ran though refused %d, wrong answers %d, wrong service %d, to leaving after 2 s %d (latest %d ms), refused without Retry-After %d\n",
		r.RanTwice, r.RanThoughRejected, r.Wrong, r.Misrouted, r.PastLeaveGrace, r.LatestToLeavingMs, r.WithoutRetryAfter)
	for _, second := range r.PerSecond {
		counts, _ := json.Marshal(second)
		fmt.Fprintln(w, string(counts))
	}
	for _, example := range r.Examples {
		fmt.Fprintln(w, "  e.g.", example)
	}
}

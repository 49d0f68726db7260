package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// report is the result of a run. All integers except MaxLeavingForMs are numbers of requests.
type report struct {
	Seconds           float64                      `json:"seconds"`
	Offered           int                          `json:"offered"`
	Served            int                          `json:"served"`
	Rejected          int                          `json:"refused"`
	Unknown           int                          `json:"unknown"`                     // responses that leave open whether the request ran to its end
	Unanswered        int                          `json:"no_answer"`                   // requests without a complete response, or not sent because too many were in flight
	WithoutRetryAfter int                          `json:"refused_without_retry_after"` // rejections with status 503 that lack Retry-After
	Wrong             int                          `json:"wrong_answers"`
	Mismatched        int                          `json:"answers_of_others"` // part of Wrong: responses to another request
	RanTwice          int                          `json:"ran_twice"`
	RanThoughRejected int                          `json:"ran_though_refused"`
	Misrouted         int                          `json:"wrong_service"`        // ran at another service than intended
	PastLeaveGrace    int                          `json:"to_leaving_after_2s"`  // ran more than leaveGraceMs after their target announced that it is leaving
	MaxLeavingForMs   int64                        `json:"latest_to_leaving_ms"` // longest time from such an announcement to the start of a request, in ms
	Goodput           float64                      `json:"goodput_per_s"`
	RejectionMedianMs float64                      `json:"refusal_median_ms"`
	Latencies         quantiles                    `json:"latency_ms"`
	Kinds             map[string]quantiles         `json:"kinds"`
	Groups            map[clientGroup]*groupReport `json:"groups"`
	RetryAfters       map[string]int               `json:"retry_after,omitempty"` // rejections by the value of their Retry-After header
	PerSecond         []map[outcomeClass]int       `json:"per_second,omitempty"`
	Examples          []string                     `json:"examples,omitempty"`
}

// groupReport is the result for the clients of one group, including their retries.
type groupReport struct {
	Clients   int       `json:"user_agents"`        // number of clients; each sends one request and its retries
	Requests  int       `json:"asked"`              // number of requests, retries included
	Served    int       `json:"user_agents_served"` // number of requests that were served, retries included
	Latencies quantiles `json:"latency_ms"`
}

// quantiles maps the names of quantiles to latencies in ms, and "count" to the number of latencies.
type quantiles map[string]float64

// median is the name of the median in quantiles.
const median = "p50"

// newQuantiles returns the quantiles of latencies, which it sorts. They are empty if there are none.
func newQuantiles(latencies []float64) quantiles {
	q := quantiles{}
	if len(latencies) == 0 {
		return q
	}
	slices.Sort(latencies)
	for name, part := range map[string]float64{median: 0.5, "p90": 0.9, "p99": 0.99, "max": 1} {
		q[name] = latencies[min(len(latencies)-1, int(part*float64(len(latencies))))]
	}
	q["count"] = float64(len(latencies))
	return q
}

// failed reports whether the run violated a requirement. Rejections as such do not count, however many there are.
func (r *report) failed() bool {
	return r.Wrong+r.RanTwice+r.RanThoughRejected+r.Misrouted+r.PastLeaveGrace+r.WithoutRetryAfter > 0
}

// print writes the report as text.
func (r *report) print(w io.Writer) {
	fmt.Fprintf(w, "offered %d, served %d (%.0f/s), rejected %d, unknown %d, unanswered %d in %.1f s\n",
		r.Offered, r.Served, r.Goodput, r.Rejected, r.Unknown, r.Unanswered, r.Seconds)
	fmt.Fprintf(w, "latency in ms from the scheduled start: p50 %.1f p90 %.1f p99 %.1f max %.1f; of rejections: p50 %.1f\n",
		r.Latencies[median], r.Latencies["p90"], r.Latencies["p99"], r.Latencies["max"], r.RejectionMedianMs)
	for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
		kind := r.Kinds[name]
		fmt.Fprintf(w, "  %-12s %6.0f  p50 %.1f p99 %.1f\n", name, kind["count"], kind[median], kind["p99"])
	}
	for _, name := range []clientGroup{clientsWithoutRetries, clientsWithRetries} {
		group := r.Groups[name]
		fmt.Fprintf(w, "  %-12s %6d clients sent %d requests, %d were served  p50 %.1f p99 %.1f\n",
			name, group.Clients, group.Requests, group.Served, group.Latencies[median], group.Latencies["p99"])
	}
	fmt.Fprintf(w, "ran twice %d, ran although rejected %d, wrong responses %d, ran at the wrong service %d, started over 2 s after the target announced that it is leaving %d (maximum %d ms), rejected without Retry-After %d\n",
		r.RanTwice, r.RanThoughRejected, r.Wrong, r.Misrouted, r.PastLeaveGrace, r.MaxLeavingForMs, r.WithoutRetryAfter)
	for _, second := range r.PerSecond {
		counts, _ := json.Marshal(second)
		fmt.Fprintln(w, string(counts))
	}
	for _, example := range r.Examples {
		fmt.Fprintln(w, "  example:", example)
	}
}

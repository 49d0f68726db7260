// This file reads what the processes of a hollow fleet used, and makes figures and slopes of it.

package main

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"myrtlefold/internal/daemon"
)

// figure is one measured number.
type figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// hollowSize is one size of fleet.
type hollowSize struct {
	Gates, Targets, Routes int
	Changes                float64 // a second
}

func (s hollowSize) String() string {
	return fmt.Sprintf("%d gates, %d targets, %d routes, %g changes/s", s.Gates, s.Targets, s.Routes, s.Changes)
}

func numbers(list string) (l []float64, err error) {
	for _, s := range strings.Split(list, ",") {
		x, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
		if err != nil || x < 0 {
			return nil, fmt.Errorf("%q is no list of numbers", list)
		}
		l = append(l, x)
	}
	return l, nil
}

// sizes are all that are to be measured, and along what they differ.
func (f *hollowFlags) sizes() (l []hollowSize, along func(hollowSize) float64, err error) {
	var ns [4][]float64
	for i, s := range []string{f.gates, f.targets, f.routes, f.changes} {
		if ns[i], err = numbers(s); err != nil {
			return nil, nil, err
		}
	}
	for _, g := range ns[0] {
		for _, t := range ns[1] {
			for _, r := range ns[2] {
				for _, c := range ns[3] {
					l = append(l, hollowSize{int(g), int(t), int(r), c})
				}
			}
		}
	}
	for _, s := range l {
		if s.Gates < 1 || s.Gates > 1000 || s.Targets < 2*f.rounds+1 || s.Targets > 4000 || s.Routes < 1 || s.Gates <= f.real-1 {
			return nil, nil, fmt.Errorf("%v: there must be 1 to 1000 gates, %d to 4000 targets and a route", s, 2*f.rounds+1)
		}
	}
	along = func(s hollowSize) float64 { return float64(s.Gates) }
	switch {
	case len(ns[1]) > 1:
		along = func(s hollowSize) float64 { return float64(s.Targets) }
	case len(ns[2]) > 1:
		along = func(s hollowSize) float64 { return float64(s.Routes) }
	case len(ns[3]) > 1:
		along = func(s hollowSize) float64 { return s.Changes }
	}
	return l, along, nil
}

// line is the straight line through points by least squares, and what part of their
// spread it leaves unexplained.
func line(x, y []float64) (at0, slope, rest float64) {
	var sx, sy, sxx, sxy, syy float64
	n := float64(len(x))
	for i := range x {
		sx, sy, sxx, sxy, syy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i], syy+y[i]*y[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return sy / n, 0, 0
	}
	slope = (n*sxy - sx*sy) / d
	at0 = (sy - slope*sx) / n
	if v := syy - sy*sy/n; v > 0 {
		rest = max(0, 1-slope*slope*(sxx-sx*sx/n)/v)
	}
	return at0, slope, rest
}

func median(l []float64) (mid, lo, hi float64) {
	s := slices.Sorted(slices.Values(l))
	return s[len(s)/2], s[0], s[len(s)-1]
}

// short prints a number with three digits that count.
func short(x float64) string {
	if math.IsInf(x, 1) {
		return "late"
	}
	if x >= 100 {
		return strconv.FormatFloat(x, 'f', 0, 64)
	}
	return strconv.FormatFloat(x, 'g', 3, 64)
}

// procTime reads used processor seconds out of a /proc/PID/stat.
func procTime(stat string) float64 {
	_, rest, _ := strings.Cut(stat[strings.LastIndexByte(stat, ')')+1:], " ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	u, _ := strconv.ParseFloat(f[11], 64)
	s, _ := strconv.ParseFloat(f[12], 64)
	return (u + s) / clockTicks
}

// procMemory reads resident MB out of a /proc/PID/status.
func procMemory(status string) float64 {
	for line := range strings.Lines(status) {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(v)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// wireCounts reads the messages between daemons out of a daemon's metrics.
func wireCounts(metrics string) map[string]float64 {
	m := map[string]float64{}
	for l := range strings.Lines(metrics) {
		k, v, ok := strings.Cut(strings.TrimSpace(l), " ")
		if ok && strings.HasPrefix(k, "mf_wire_") {
			k = strings.NewReplacer("mf_wire_", "", "_total{direction=\"", " ", "\",kind=\"", " ", "\"}", "").Replace(k)
			x, _ := strconv.ParseFloat(v, 64)
			m[k] += x
		}
	}
	return m
}

func flowCounts(l []daemon.Flow) map[string]float64 {
	m := map[string]float64{}
	for _, f := range l {
		dir := "received"
		if f.Sent {
			dir = "sent"
		}
		m["messages "+dir+" "+f.Kind] += float64(f.Msgs)
		m["bytes "+dir+" "+f.Kind] += float64(f.Bytes)
	}
	return m
}

// reading is all counters at one moment.
type reading struct {
	at    time.Time
	cpu   map[string]float64
	mem   map[string]float64
	core  map[string]map[string]float64
	gates map[string]float64
	backs hollowReport
}

package main

import (
	"encoding/json"
	"math/rand/v2"
	"os"

	"github.com/cockroachdb/errors"
)

// requestKind is one kind of request in a mix.
type requestKind struct {
	Name         string  `json:"name"`
	Service      string  `json:"service"`
	Method       string  `json:"method"`
	Path         string  `json:"path"`
	Weight       float64 `json:"weight"`
	BodySize     int     `json:"body,omitempty"`   // bytes
	ResponseSize int     `json:"answer,omitempty"` // bytes of padding
	Impatient    float64 `json:"hard,omitempty"`   // ratio of its user agents that retry at once, and again
}

// mixes are those of the deployments that the project is made for.
var mixes = map[string][]requestKind{
	"kelani": {
		{"history", "records", "GET", "/records/history/day", 0.35, 0, 4000, 0},
		{"acknowledge", "records", "POST", "/records/alarms/ack", 0.15, 200, 0, 0.3},
		{"probes", "monitoring", "GET", "/monitoring/probes", 0.40, 0, 300, 0.2},
		{"certificate", "records", "POST", "/records/certificates", 0.10, 1500, 2000, 0},
	},
	"kiyihat": {
		{"fare", "fares", "GET", "/fares/lookup", 0.70, 0, 200, 0},
		{"buy", "payments", "POST", "/payments/tickets", 0.12, 400, 200, 0},
		{"top-up", "payments", "POST", "/payments/topups", 0.06, 300, 100, 0},
		{"timetable", "documents", "GET", "/documents/timetables", 0.08, 0, 60000, 0},
		{"receipt", "documents", "GET", "/documents/receipts", 0.04, 0, 8000, 0},
	},
}

// errEmptyMix says that a mix's file has no kind of request.
var errEmptyMix = errors.New("no kind of request")

// loadMix returns the mix of that name, or the one in that JSON file.
func loadMix(name string) ([]requestKind, error) {
	if mix := mixes[name]; mix != nil {
		return mix, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var mix []requestKind
	if err := json.Unmarshal(text, &mix); err != nil {
		return nil, err
	}
	if len(mix) == 0 {
		return nil, errEmptyMix
	}
	return mix, nil
}

// draw draws a kind of request by weight.
func draw(mix []requestKind, random *rand.Rand) *requestKind {
	total := 0.0
	for _, kind := range mix {
		total += kind.Weight
	}
	x := random.Float64() * total
	i := 0
	for ; i < len(mix)-1 && x >= mix[i].Weight; i++ {
		x -= mix[i].Weight
	}
	return &mix[i]
}

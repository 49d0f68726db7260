package main

import (
	"encoding/json"
	"math/rand/v2"
	"os"

	"github.com/cockroachdb/errors"
)

// requestKind describes one kind of request in a mix.
type requestKind struct {
	Name             string  `json:"name"`             // name of the kind in reports
	Service          string  `json:"service"`          // service that the request is intended for
	Method           string  `json:"method"`           // HTTP method; POST requests count as not idempotent
	Path             string  `json:"path"`             // URL path
	Weight           float64 `json:"weight"`           // share in the mix, relative to the other kinds
	BodySize         int     `json:"body,omitempty"`   // size of the request body, in bytes
	ResponseSize     int     `json:"answer,omitempty"` // size of the response's padding, in bytes
	RetryingFraction float64 `json:"hard,omitempty"`   // fraction of its clients that retry immediately after an error response of a proxy, up to maxRetries times
}

// mixes has the built-in mixes by name, which model the deployments that the project was designed for.
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

// errEmptyMix reports that a mix file contains no kind of request.
var errEmptyMix = errors.New("the file contains no kind of request")

// loadMix returns the built-in mix with the given name, or else reads the JSON file with that name.
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

// drawKind selects a random kind of request, with probabilities proportional to the weights.
func drawKind(mix []requestKind, random *rand.Rand) *requestKind {
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

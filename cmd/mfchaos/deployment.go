// This file holds the shapes of fleets by name.

package main

// Deployment is a fleet's shape.
type Deployment struct {
	Controls, Proxies int
	Domains           []string
	Services          []Service
	Rate              float64 // requests a second
}

// Service is a service of a deployment and how its stand-in back ends behave.
type Service struct {
	Name    string
	Targets int
	Work    string // how long a request takes
	Bears   int    // requests at once
	Warm    string // how long a restarted one warms up
}

var deployments = map[string]Deployment{
	"kelani": {3, 12, []string{"hill", "port", "coast"}, []Service{{"records", 30, "20ms", 24, "1500ms"}, {"monitoring", 6, "5ms", 48, "500ms"}}, 210},
	"kiyihat": {5, 8, []string{"north", "south", "isles", "quay"}, []Service{{"fares", 14, "4ms", 64, "500ms"},
		{"payments", 9, "25ms", 32, "1500ms"}, {"documents", 8, "30ms", 16, "1s"}}, 630},
	// press is small enough that one machine can ask it for twice what it bears: 4 targets
	// of 4 requests at a time and 40 ms each, 400 a second.
	"press": {3, 3, []string{"hill", "port", "coast"}, []Service{{"records", 4, "40ms", 4, "3s"}}, 400},
	"small": {3, 3, []string{"hill", "port", "coast"}, []Service{{"records", 4, "20ms", 24, "1s"}, {"monitoring", 3, "5ms", 48, "500ms"}}, 60},
}

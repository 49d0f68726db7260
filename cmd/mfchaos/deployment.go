// This file defines the deployments that a fleet can be started as.

package main

// Deployment is the size of a fleet and the services that it runs.
type Deployment struct {
	Controls, Proxies int
	Domains           []string // failure domains, to which processes are assigned in turn
	Services          []Service
	Rate              float64 // requests per second of the load
	ReserveDomain     string  // a further failure domain, which has no process; "" for none
}

// Service is a service of a deployment and the behaviour of its test back ends.
type Service struct {
	Name             string
	Targets          int    // number of back ends
	RequestTime      string // processing time of a request, as a Go duration
	Concurrency      int    // number of requests that a back end runs concurrently; others wait
	WarmingStateTime string // time for which a restarted back end reports the state warming, as a Go duration
}

// deployments are the values of --deployment.
var deployments = map[string]Deployment{
	"kelani": {3, 12, []string{"hill", "port", "coast"}, []Service{{"records", 30, "20ms", 24, "1500ms"}, {"monitoring", 6, "5ms", 48, "500ms"}}, 210, ""},
	"kiyihat": {5, 8, []string{"north", "south", "isles", "quay"}, []Service{{"fares", 14, "4ms", 64, "500ms"},
		{"payments", 9, "25ms", 32, "1500ms"}, {"documents", 8, "30ms", 16, "1s"}}, 630, ""},
	// press is small enough for one machine to send it twice its capacity: 4 targets with 4 concurrent requests of 40 ms
	// each serve 400 requests per second.
	"press": {3, 3, []string{"hill", "port", "coast"}, []Service{{"records", 4, "40ms", 4, "3s"}}, 400, ""},
	"small": {3, 3, []string{"hill", "port", "coast"}, []Service{{"records", 4, "20ms", 24, "1s"}, {"monitoring", 3, "5ms", 48, "500ms"}}, 60, ""},
}

package config

import (
	"strings"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// Service is a group of interchangeable targets with common settings. For requests of a route, the route's own deadline,
// attempts and queue replace TimeoutMs, Attempts, QueueTimeoutMs and QueueLength.
type Service struct {
	// Cap is the limit of requests in flight to one target from all proxies together. Default: 64.
	Cap int `koanf:"cap" json:"cap"`
	// WarmCap is the same limit for a target that is warming up. Slow start raises it to Cap afterwards. Default: 4.
	WarmCap int `koanf:"warm_cap" json:"warm_cap"`
	// MaxInFlight is the limit of requests in flight to the service, divided among the proxies. Default: 0, no limit.
	MaxInFlight int `koanf:"in_flight" json:"in_flight,omitempty"`
	// TimeoutMs is the deadline of a request, counted from its arrival, in ms. Default: 5000.
	TimeoutMs int `koanf:"timeout_ms" json:"timeout_ms"`
	// QueueTimeoutMs is how long a request may be queued for a target, in ms. It must be set if and only if QueueLength
	// is. Default: 0, requests are not queued.
	QueueTimeoutMs int `koanf:"wait_ms" json:"wait_ms,omitempty"`
	// QueueLength is the maximum number of queued requests, divided among the proxies. Default: 0, requests are not
	// queued.
	QueueLength int `koanf:"wait_len" json:"wait_len,omitempty"`
	// BodyMax is the largest request body, in bytes. Default: 1 MiB.
	BodyMax int `koanf:"body_max" json:"body_max"`
	// Attempts is the maximum number of times an idempotent request is sent, the first attempt included. Default: 3.
	Attempts int `koanf:"tries" json:"tries"`
	// SlowMs is the response time above which policies count a request as slow, in ms. Default: 0, no request is slow.
	SlowMs int `koanf:"slow_ms" json:"slow_ms,omitempty"`
	// HealthPath is the path of the targets' health check. Default: "", the identity request is used instead.
	HealthPath string `koanf:"health_path" json:"health_path,omitempty"`
	// ConnCap is how many connections a target accepts from all its callers together. Default: 0, unknown.
	ConnCap int `koanf:"conn_cap" json:"conn_cap,omitempty"`
	// WarmupSeconds is the duration of a target's warm-up after its start, in seconds. Default: 0, no warm-up.
	WarmupSeconds float64 `koanf:"cold_s" json:"cold_s,omitempty"`
	// WarmupRate is the rate limit of all proxies together for a target that is warming up, in requests a second.
	// Default: 0, no limit.
	WarmupRate float64 `koanf:"cold_per_s" json:"cold_per_s,omitempty"`
	// Proto is the protocol of the targets. Only h1 (HTTP/1.1) is supported. Default: "", h1.
	Proto string `koanf:"proto" json:"proto,omitempty"`
	// TLS is whether connections to targets use TLS. Only false is supported. Default: false.
	TLS bool `koanf:"tls" json:"tls,omitempty"`
}

// Warmup returns the duration of a target's warm-up after its start.
func (s *Service) Warmup() time.Duration {
	return time.Duration(s.WarmupSeconds * float64(time.Second))
}

// HasHealthCheck reports whether the service's targets have a health check of their own. Such targets get the expected
// identity with each request; other targets are asked for their identity on each new connection.
func (s *Service) HasHealthCheck() bool { return s.HealthPath != "" }

func (c *checker) readServices(cfg *Config, v any) {
	c.readItems("services", v, func(at, name string, item any) {
		s := Service{
			Cap:       tuning.CapDefault,
			WarmCap:   tuning.WarmCapDefault,
			TimeoutMs: tuning.TimeoutDefaultMs,
			BodyMax:   tuning.BodyMaxDefault,
			Attempts:  tuning.AttemptsDefault,
		}
		c.decode(at, item, &s)
		c.checkName(at, name)
		c.checkService(at, &s)
		cfg.Services[name] = s
	})
}

// checkService checks the fields of a service.
func (c *checker) checkService(path string, service *Service) {
	c.checkRange(path, "cap", service.Cap, 1, tuning.CapMax)
	c.checkRange(path, "warm_cap", service.WarmCap, 1, tuning.CapMax)
	c.checkRange(path, "in_flight", service.MaxInFlight, 0, tuning.InFlightMax)
	c.checkRange(path, "timeout_ms", service.TimeoutMs, tuning.TimeoutMinMs, tuning.TimeoutMaxMs)
	c.checkRange(path, "wait_ms", service.QueueTimeoutMs, 0, tuning.QueueTimeoutMaxMs)
	c.checkRange(path, "wait_len", service.QueueLength, 0, tuning.QueueLengthMax)
	c.checkRange(path, "body_max", service.BodyMax, 0, tuning.ServiceBodyMax)
	c.checkRange(path, "tries", service.Attempts, 1, tuning.ServiceAttemptsMax)
	c.checkRange(path, "slow_ms", service.SlowMs, 0, tuning.TimeoutMaxMs)
	if service.WarmCap > service.Cap {
		c.add(path+".warm_cap", "%d is greater than cap %d", service.WarmCap, service.Cap)
	}
	if service.HealthPath != "" && (!strings.HasPrefix(service.HealthPath, "/") || strings.ContainsAny(service.HealthPath, "?#* ")) {
		c.add(path+".health_path", notPlainPath)
	}
	c.checkRange(path, "conn_cap", service.ConnCap, 0, tuning.ConnCapMax)
	if !(service.WarmupSeconds >= 0 && service.WarmupSeconds <= tuning.WarmupMax.Seconds()) {
		c.add(path+".cold_s", "%v is not between 0 and %v", service.WarmupSeconds, tuning.WarmupMax.Seconds())
	}
	if !(service.WarmupRate >= 0 && service.WarmupRate <= tuning.WarmupRateMax) {
		c.add(path+".cold_per_s", "%v is not between 0 and %d", service.WarmupRate, int(tuning.WarmupRateMax))
	}
	if service.Proto != "" && service.Proto != "h1" || service.TLS {
		c.add(path+".proto", "only h1 without TLS is supported")
	}
	if (service.QueueTimeoutMs > 0) != (service.QueueLength > 0) {
		c.add(path+".wait_ms", "wait_ms and wait_len must be set together")
	}
}

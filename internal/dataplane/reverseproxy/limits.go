// This file implements the limits on what callers send. The configured limits may change at any time and are read for
// each request. Where the configuration sets no limit, the limits of package tuning apply.

package reverseproxy

import (
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

// limits returns the configured limits. A zero value means that the configuration sets no such limit.
func (f *Forwarder) limits() config.Limits {
	if limits := f.Limits.Load(); limits != nil {
		return *limits
	}
	return config.Limits{}
}

// maxHeaderBytes returns the maximum size of a request's header in bytes.
func (f *Forwarder) maxHeaderBytes() int {
	if n := f.limits().HeaderBytes; n > 0 {
		return n
	}
	return tuning.HeaderMax
}

// maxBodyBytes returns the maximum size of the body of a request for a service, in bytes. For a service with a health
// check, the configured limit for all callers replaces the service's own limit; if none is configured, the larger of
// the service's own limit and tuning.CallerBodyMax applies. For other services, the smaller of the configured limit and
// the service's own one applies.
func (f *Forwarder) maxBodyBytes(service *config.Service) int64 {
	own, common := int64(service.BodyMax), int64(f.limits().BodyBytes)
	switch {
	case service.HasHealthCheck() && common > 0:
		return common
	case service.HasHealthCheck():
		return max(own, tuning.CallerBodyMax)
	case common > 0:
		return min(own, common)
	}
	return own
}

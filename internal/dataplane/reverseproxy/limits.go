// This file has the limits on what callers send. The configuration's may change at any moment and are read with
// each request; what the configuration leaves open has the limits of package tuning.

package reverseproxy

import (
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

// limits returns the configuration's limits; zero values set none.
func (f *Forwarder) limits() config.Limits {
	if limits := f.Limits.Load(); limits != nil {
		return *limits
	}
	return config.Limits{}
}

// maxHeaderBytes returns how large a request's header may be, in bytes.
func (f *Forwarder) maxHeaderBytes() int {
	if n := f.limits().HeaderBytes; n > 0 {
		return n
	}
	return tuning.HeaderMax
}

// maxBodyBytes returns how large a request's body for a service may be, in bytes. For a service with a health
// check the configuration's limit for all callers replaces the service's own; for others the smaller one holds.
func (f *Forwarder) maxBodyBytes(service *config.Service) int64 {
	own, common := int64(service.BodyMax), int64(f.limits().BodyBytes)
	switch {
	case service.HasHealthCheck() && common > 0:
		return common
	case service.HasHealthCheck():
		return max(own, tuning.CallerBody)
	case common > 0:
		return min(own, common)
	}
	return own
}

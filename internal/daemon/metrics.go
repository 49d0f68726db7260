// This file shows the owners' counters.

package daemon

import (
	"reflect"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// Counters puts the counts of an owner or forwarder on /metrics: each field of the struct that get
// returns, if it is an unsigned integer or atomic, as mf_PREFIX_NAME_total. NAME is the field's tag
// `metric:"name"`, or its Go name in snake case if it has none.
func (h *Process) RegisterCounters(prefix string, get func() any) {
	h.Metrics.MustRegister(counts{prefix, get})
}

// counts is a prometheus.Collector of a struct's fields.
type counts struct {
	prefix string
	get    func() any
}

func (c counts) Describe(chan<- *prometheus.Desc) {}

func (c counts) Collect(ch chan<- prometheus.Metric) {
	v := reflect.Indirect(reflect.ValueOf(c.get()))
	for i := range v.NumField() {
		f := v.Field(i)
		n := metricName(v.Type().Field(i))
		var x float64
		switch {
		case f.CanUint():
			x = float64(f.Uint())
		case f.CanAddr() && f.Addr().MethodByName("Load").IsValid():
			x = float64(f.Addr().MethodByName("Load").Call(nil)[0].Uint())
		default:
			continue
		}
		d := prometheus.NewDesc("mf_"+c.prefix+"_"+n+"_total", "Count of "+strings.ReplaceAll(n, "_", " ")+".", nil, nil)
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, x)
	}
}

// metricName is what a counter's field is called on /metrics, between prefix and suffix.
func metricName(field reflect.StructField) string {
	if name := field.Tag.Get("metric"); name != "" {
		return name
	}
	return snake(field.Name)
}

// snake returns a Go name in snake case.
func snake(s string) string {
	var b strings.Builder
	for i, r := range s {
		if i > 0 && r >= 'A' && r <= 'Z' {
			b.WriteByte('_')
		}
		b.WriteRune(r)
	}
	return strings.ToLower(b.String())
}

// This file shows the state machines' counters on /metrics.

package daemon

import (
	"reflect"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// RegisterCounters puts the counts of a state machine or the forwarder on /metrics: each field of the struct that
// counts returns (or points to), if it is an unsigned integer or atomic, as mf_PREFIX_NAME_total. NAME is the field's
// tag `metric:"name"`, or its Go name in snake case if it has none.
func (p *Process) RegisterCounters(prefix string, counts func() any) {
	p.Metrics.MustRegister(counterCollector{prefix, counts})
}

// counterCollector is a prometheus.Collector of a struct's fields.
type counterCollector struct {
	prefix string
	counts func() any
}

// Describe sends no descriptor, which makes the collector an unchecked one.
func (c counterCollector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the counts to a registry.
func (c counterCollector) Collect(metrics chan<- prometheus.Metric) {
	counts := reflect.Indirect(reflect.ValueOf(c.counts()))
	for i := range counts.NumField() {
		value, ok := counterValue(counts.Field(i))
		if !ok {
			continue
		}
		name := metricName(counts.Type().Field(i))
		help := "Count of " + strings.ReplaceAll(name, "_", " ") + "."
		desc := prometheus.NewDesc("mf_"+c.prefix+"_"+name+"_total", help, nil, nil)
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, value)
	}
}

// counterValue reads an unsigned integer or an atomic one; of other fields it returns false.
func counterValue(field reflect.Value) (value float64, ok bool) {
	if field.CanUint() {
		return float64(field.Uint()), true
	}
	if !field.CanAddr() {
		return 0, false
	}
	load := field.Addr().MethodByName("Load")
	if !load.IsValid() {
		return 0, false
	}
	return float64(load.Call(nil)[0].Uint()), true
}

// metricName is what a counter's field is called on /metrics, between prefix and suffix.
func metricName(field reflect.StructField) string {
	if name := field.Tag.Get("metric"); name != "" {
		return name
	}
	return snakeCase(field.Name)
}

// snakeCase returns a Go name in snake case.
func snakeCase(name string) string {
	var snake strings.Builder
	for i, letter := range name {
		if i > 0 && letter >= 'A' && letter <= 'Z' {
			snake.WriteByte('_')
		}
		snake.WriteRune(letter)
	}
	return strings.ToLower(snake.String())
}

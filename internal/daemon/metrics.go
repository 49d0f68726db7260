// Export of the counters of the state machines and the forwarder on /metrics.

package daemon

import (
	"reflect"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// RegisterCounters exports counters on /metrics. The function counts returns a struct or a pointer to one; each field
// that is an unsigned integer, plain or atomic, is exported as mf_PREFIX_NAME_total. NAME is the field's tag
// `metric:"name"` or, without a tag, its Go name in snake case.
func (p *Process) RegisterCounters(prefix string, counts func() any) {
	p.Metrics.MustRegister(counterCollector{prefix, counts})
}

// counterCollector is a prometheus.Collector for the fields of a struct.
type counterCollector struct {
	prefix string
	counts func() any
}

// Describe sends no descriptor, which makes the collector an unchecked one.
func (c counterCollector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current values to a registry.
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

// counterValue returns the value of an unsigned integer, plain or atomic. It returns false for other fields.
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

// metricName returns the name of a field's counter without prefix and suffix.
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

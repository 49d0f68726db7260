// This file shows the owners' counters.

package host

import (
	"reflect"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// Counters shows an owner's or forwarder's counts, whatever fields they have.
func (h *Host) Counters(prefix string, get func() any) {
	h.Reg.MustRegister(counts{prefix, get})
}

type counts struct {
	prefix string
	get    func() any
}

func (c counts) Describe(chan<- *prometheus.Desc) {}

func (c counts) Collect(ch chan<- prometheus.Metric) {
	v := reflect.Indirect(reflect.ValueOf(c.get()))
	for i := range v.NumField() {
		f := v.Field(i)
		n := snake(v.Type().Field(i).Name)
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

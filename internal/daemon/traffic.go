// This file is the count of messages between daemons, by direction and kind, as
// /metrics shows it.

package daemon

import (
	"myrtlefold/internal/shared/wire"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// kinds are the messages' names, by wire.Kind.
var kinds = [...]string{"unknown", "hello", "vote", "append", "pull", "push", "beat", "ask"}

// MessageCount is what went one way in messages of one kind; bytes are as on the connection, packed.
type MessageCount struct {
	Sent            bool
	Kind            string
	Messages, Bytes uint64
}

// Traffic counts a daemon's messages to and from others. It is a prometheus.Collector.
type Traffic struct {
	counts [2][len(kinds)]struct{ msgs, bytes atomic.Uint64 }
}

func (t *Traffic) add(sent bool, kind wire.Kind, bytes int) {
	if int(kind) >= len(kinds) {
		kind = 0
	}
	c := &t.counts[way(sent)][kind]
	c.msgs.Add(1)
	c.bytes.Add(uint64(bytes))
}

func way(sent bool) int {
	if sent {
		return 1
	}
	return 0
}

// Flows returns the counts so far, without those that are 0.
func (t *Traffic) Counts() (l []MessageCount) {
	for _, sent := range []bool{false, true} {
		for k := range kinds {
			c := &t.counts[way(sent)][k]
			if n := c.msgs.Load(); n > 0 {
				l = append(l, MessageCount{sent, kinds[k], n, c.bytes.Load()})
			}
		}
	}
	return l
}

// Describe says nothing, which makes the collector an unchecked one.
func (t *Traffic) Describe(chan<- *prometheus.Desc) {}

// Collect gives the counts to a registry.
func (t *Traffic) Collect(ch chan<- prometheus.Metric) {
	desc := func(what, help string) *prometheus.Desc {
		return prometheus.NewDesc("mf_wire_"+what+"_total", help, []string{"direction", "kind"}, nil)
	}
	msgs, bytes := desc("messages", "Messages between daemons."), desc("bytes", "Bytes of messages between daemons.")
	for _, f := range t.Counts() {
		dir := "received"
		if f.Sent {
			dir = "sent"
		}
		ch <- prometheus.MustNewConstMetric(msgs, prometheus.CounterValue, float64(f.Messages), dir, f.Kind)
		ch <- prometheus.MustNewConstMetric(bytes, prometheus.CounterValue, float64(f.Bytes), dir, f.Kind)
	}
}

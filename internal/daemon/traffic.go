// Metrics of the messages between daemons, by direction and kind.

package daemon

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"myrtlefold/internal/shared/wire"
)

// kindLabels are the metric labels of the kinds of messages, indexed by wire.Kind.
var kindLabels = [...]string{"unknown", "hello", "vote", "append", "pull", "push", "beat", "ask"}

// Direction is the direction of a message and its label in the metrics.
type Direction string

// Directions of messages, as seen from this daemon.
const (
	received Direction = "received"
	sent     Direction = "sent"
)

// MessageCount counts the messages of one kind and direction. Bytes is their packed size on the connection.
type MessageCount struct {
	Direction       Direction
	Kind            string
	Messages, Bytes uint64
}

// Traffic counts the messages that a daemon exchanges with others. It is a prometheus.Collector.
type Traffic struct {
	received, sent [len(kindLabels)]messageCounter
}

// messageCounter counts the messages of one kind and direction.
type messageCounter struct{ messages, bytes atomic.Uint64 }

func (t *Traffic) counters(direction Direction) *[len(kindLabels)]messageCounter {
	if direction == sent {
		return &t.sent
	}
	return &t.received
}

func (t *Traffic) add(direction Direction, kind wire.Kind, bytes int) {
	if int(kind) >= len(kindLabels) {
		kind = 0
	}
	counter := &t.counters(direction)[kind]
	counter.messages.Add(1)
	counter.bytes.Add(uint64(bytes))
}

// Counts returns all counts that are not 0.
func (t *Traffic) Counts() (counts []MessageCount) {
	for _, direction := range []Direction{received, sent} {
		counters := t.counters(direction)
		for kind, label := range kindLabels {
			if n := counters[kind].messages.Load(); n > 0 {
				counts = append(counts, MessageCount{direction, label, n, counters[kind].bytes.Load()})
			}
		}
	}
	return counts
}

// Describe sends no descriptor, which makes the collector an unchecked one.
func (t *Traffic) Describe(chan<- *prometheus.Desc) {}

var trafficLabels = []string{"direction", "kind"}

var (
	messagesDesc = prometheus.NewDesc("mf_wire_messages_total", "Messages between daemons.", trafficLabels, nil)
	bytesDesc    = prometheus.NewDesc("mf_wire_bytes_total", "Bytes of messages between daemons.", trafficLabels, nil)
)

// Collect sends the current values to a registry.
func (t *Traffic) Collect(metrics chan<- prometheus.Metric) {
	for _, c := range t.Counts() {
		direction := string(c.Direction)
		metrics <- prometheus.MustNewConstMetric(messagesDesc, prometheus.CounterValue, float64(c.Messages), direction, c.Kind)
		metrics <- prometheus.MustNewConstMetric(bytesDesc, prometheus.CounterValue, float64(c.Bytes), direction, c.Kind)
	}
}

package daemon

import (
	"slices"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"myrtlefold/internal/shared/wire"
)

// Messages are counted by direction and kind, with their frames; a kind that is not known counts as such.
func TestTraffic(t *testing.T) {
	var traffic Traffic
	traffic.add(sent, wire.KindPush, 100)
	traffic.add(sent, wire.KindPush, 50)
	traffic.add(received, wire.KindHello, 10)
	traffic.add(received, 60000, 1)
	want := []MessageCount{{received, "unknown", 1, 1}, {received, "hello", 1, 10}, {sent, "push", 2, 150}}
	got := traffic.Counts()
	if !slices.Equal(got, want) {
		t.Fatal(got)
	}
	if int(wire.KindCall) != len(kindLabels)-1 {
		t.Fatal("a kind of message has no name")
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(&traffic)
	families, err := registry.Gather()
	if err != nil || len(families) != 2 || len(families[0].Metric) != 3 {
		t.Fatal(families, err)
	}
}

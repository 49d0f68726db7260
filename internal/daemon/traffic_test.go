package daemon

import (
	"slices"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"myrtlefold/internal/shared/wire"
)

// Messages and their bytes are counted by direction and kind. A message of an unknown kind is counted as unknown.
func TestTraffic(t *testing.T) {
	var traffic Traffic
	traffic.add(sent, wire.KindPush, 100)
	traffic.add(sent, wire.KindPush, 50)
	traffic.add(received, wire.KindHello, 10)
	traffic.add(received, 60000, 1)
	want := []MessageCount{{received, "unknown", 1, 1}, {received, "hello", 1, 10}, {sent, "push", 2, 150}}
	got := traffic.Counts()
	if !slices.Equal(got, want) {
		t.Fatalf("counts %v, want %v", got, want)
	}
	if int(wire.KindCall) != len(kindLabels)-1 {
		t.Fatal("kindLabels does not end with the label of wire.KindCall")
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(&traffic)
	families, err := registry.Gather()
	if err != nil || len(families) != 2 || len(families[0].Metric) != 3 {
		t.Fatalf("metric families %v, error %v; want 2 families with 3 metrics", families, err)
	}
}

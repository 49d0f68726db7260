package daemon

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"myrtlefold/internal/shared/wire"
)

// Messages are counted by way and kind, with their frames; a kind that is not known
// counts as such.
func TestTraffic(t *testing.T) {
	var tr Traffic
	tr.add(true, wire.KindPush, 100)
	tr.add(true, wire.KindPush, 50)
	tr.add(false, wire.KindHello, 10)
	tr.add(false, 60000, 1)
	want := []MessageCount{{false, "unknown", 1, 1}, {false, "hello", 1, 10}, {true, "push", 2, 150}}
	got := tr.Counts()
	if len(got) != len(want) {
		t.Fatal(got)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatal(got)
		}
	}
	if int(wire.KindCall) != len(kinds)-1 {
		t.Fatal("a kind of message has no name")
	}
	reg := prometheus.NewRegistry()
	reg.MustRegister(&tr)
	fams, err := reg.Gather()
	if err != nil || len(fams) != 2 || len(fams[0].Metric) != 3 {
		t.Fatal(fams, err)
	}
}

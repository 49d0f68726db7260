package daemon

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/gracefulclose"
)

var update = flag.Bool("update", false, "rewrite the golden files in testdata, only for an intended change of names")

// checkGolden compares lines with the golden file of that name in testdata.
func checkGolden(t *testing.T, name string, lines []byte) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(file, lines, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(lines, want) {
		t.Fatalf("the lines differ from those in testdata/%s; got:\n%s", name, lines)
	}
}

// The names of the counters on /metrics must stay the same as recorded in testdata.
func TestMetricNames(t *testing.T) {
	p := &Process{Metrics: prometheus.NewRegistry()}
	p.RegisterCounters("core", func() any { return &controlplane.Counts{} })
	p.RegisterCounters("gate", func() any { return &dataplane.Counts{} })
	p.RegisterCounters("carry", func() any { return &reverseproxy.Counts{} })
	p.RegisterCounters("close", func() any { return &gracefulclose.Counts{} })
	p.RegisterCounters("call", func() any { return &callCounts{} })
	families, err := p.Metrics.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var lines bytes.Buffer
	for _, f := range families {
		fmt.Fprintln(&lines, f.GetName())
	}
	checkGolden(t, "metrics.txt", lines.Bytes())
}

// A counter is named by its field's tag or else by the field's name in snake case. Other fields are not exported.
func TestCounterNames(t *testing.T) {
	p := &Process{Metrics: prometheus.NewRegistry()}
	p.RegisterCounters("x", func() any {
		return &struct {
			TwoWords uint64
			Renamed  uint64 `metric:"old_name"`
			Atomic   atomic.Uint64
			Text     string
		}{}
	})
	families, err := p.Metrics.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, family := range families {
		names = append(names, family.GetName())
	}
	if want := []string{"mf_x_atomic_total", "mf_x_old_name_total", "mf_x_two_words_total"}; !slices.Equal(names, want) {
		t.Errorf("metrics %v, want %v", names, want)
	}
}

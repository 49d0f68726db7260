package daemon

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/dataplane/reverseproxy"
)

var update = flag.Bool("update", false, "record names anew, which only an intended change may need")

// asRecorded fails unless lines are those of the file in testdata.
func asRecorded(t *testing.T, name string, lines []byte) {
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
		t.Fatalf("%s differs from what is recorded:\n%s", name, lines)
	}
}

// The counters on /metrics keep their names.
func TestMetricNames(t *testing.T) {
	h := &Process{Metrics: prometheus.NewRegistry()}
	h.RegisterCounters("core", func() any { return &controlplane.Counts{} })
	h.RegisterCounters("gate", func() any { return &dataplane.Counts{} })
	h.RegisterCounters("carry", func() any { return &reverseproxy.Counts{} })
	families, err := h.Metrics.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var lines bytes.Buffer
	for _, f := range families {
		fmt.Fprintln(&lines, f.GetName())
	}
	asRecorded(t, "metrics.txt", lines.Bytes())
}

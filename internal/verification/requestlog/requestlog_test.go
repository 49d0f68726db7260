package requestlog

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"myrtlefold/internal/shared/wire"
)

// ReadAll returns entries as they were written, from several files and from a file that was reopened, and skips the
// partial line of a killed back end.
func TestEntriesAreReadAsWritten(t *testing.T) {
	dir := t.TempDir()
	entries := []Entry{
		{StartedAt: 5, ID: "a-1", Service: "s", Name: "b1", Incarnation: 7, Domain: "d", Method: "GET", State: wire.TargetReady, RequestsInFlight: 2},
		{StartedAt: 6, ID: "a-2", Service: "s", Name: "b1", Incarnation: 7, Method: "POST", IntendedService: "t", State: wire.TargetLeaving, LeavingForMs: 40, RequestsInFlight: 1, WarmingUp: true},
		{StartedAt: 4, ID: "a-3", Service: "t", Name: "b2", Method: "GET", State: wire.TargetReady},
	}
	for i, file := range []string{"1.ledger", "1.ledger", "2.ledger"} {
		writer, err := Create(filepath.Join(dir, file))
		if err != nil {
			t.Fatal(err)
		}
		writer.Write(entries[i])
		if err := writer.Close(); err != nil {
			t.Fatal(err)
		}
	}
	killed := filepath.Join(dir, "3.ledger")
	if err := os.WriteFile(killed, []byte(`{"at_ns":9,"id":"a-`), 0o600); err != nil {
		t.Fatal(err)
	}
	var got []Entry
	if err := ReadAll(dir, func(entry Entry) { got = append(got, entry) }); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(got, entries) {
		t.Errorf("read %+v, want %+v", got, entries)
	}
	line, err := os.ReadFile(filepath.Join(dir, "2.ledger"))
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"at_ns":4,"id":"a-3","service":"t","name":"b2","incarnation":0,"domain":"","method":"GET","state":"ready","in_work":0}` + "\n"; string(line) != want {
		t.Errorf("wrote %s, want %s", line, want)
	}
}

// A writer without a file discards its entries.
func TestWriterWithoutFile(t *testing.T) {
	writer, err := Create("")
	if err != nil {
		t.Fatal(err)
	}
	writer.Write(Entry{ID: "x"})
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
}

package wire

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
)

// fleetTable returns a table with the given numbers of proxies and targets.
func fleetTable(proxies, targets int) *Table {
	t := &Table{Key: TableKey{1, 2, 3}, StateIndex: 9, Revision: 4, Document: bytes.Repeat([]byte("document"), 40), State: []byte("state"), EmptiedDomains: []string{"d1"}, PreviousProxies: []string{"g0"}}
	for i := range proxies {
		t.Proxies = append(t.Proxies, Proxy{Name: fmt.Sprint("g", i), Addr: fmt.Sprintf("10.1.0.%d:7760", i), Domain: "d1", Live: i%2 == 0})
	}
	for i := range targets {
		t.Targets = append(t.Targets, Target{Service: "s", Name: fmt.Sprint("i-", i), Incarnation: 1, Addr: fmt.Sprintf("10.2.0.%d:8286", i), State: "ready", Slots: 6, ShareOffset: uint32(i)})
	}
	return t
}

// A push written with a packed table decodes to the same message as a push encoded as a whole, whatever its
// other fields are, and takes at most a word more.
func TestPackedTableDecodesToSameMessage(t *testing.T) {
	change := &Table{Key: TableKey{1, 2, 4}, DeltaBase: TableKey{1, 2, 3}, RemovedTargets: []TargetID{{Service: "s", Name: "i-1", Incarnation: 1}}}
	for _, table := range []*Table{{}, change, fleetTable(3, 0), fleetTable(0, 7), fleetTable(64, 307)} {
		packed, err := PackTable(table)
		if err != nil {
			t.Fatal(err)
		}
		var encoded, packedOnce bytes.Buffer
		a, b := NewWriter(&encoded), NewWriter(&packedOnce)
		for i, p := range []Push{{LeaseGranted: true, Key: table.Key}, {WantTable: true}, {ProbeTargets: []TargetID{{Service: "s", Name: "x", Incarnation: 2}}}, {}} {
			p.Table = table
			m := &Message{Kind: KindPush, From: "c1", To: "g1", Disk: 7, Epoch: 1, Term: 2, Timestamp: int64(i), Push: &p}
			n, err := a.Put(m)
			if err != nil {
				t.Fatal(err)
			}
			k, err := b.PutPacked(m, packed)
			if err != nil {
				t.Fatal(err)
			}
			if k > n+wordSize {
				t.Errorf("push takes %d bytes with the packed table and %d bytes encoded as a whole, want at most a word more", k, n)
			}
		}
		a.Flush()
		b.Flush()
		x, y := NewReader(&encoded), NewReader(&packedOnce)
		for range 4 {
			want, got := readMessage(t, x), readMessage(t, y)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("with packed table: read %+v, want %+v", got, want)
			}
		}
	}
}

func readMessage(t *testing.T, r *Reader) *Message {
	t.Helper()
	b, err := r.Next()
	if err != nil {
		t.Fatal(err)
	}
	m, err := Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// BenchmarkTable writes the table of a large fleet to one proxy, encoded for this message or packed once beforehand.
func BenchmarkTable(b *testing.B) {
	table := fleetTable(64, 307)
	m := &Message{Kind: KindPush, From: "c1", Timestamp: 7, Push: &Push{LeaseGranted: true, Table: table}}
	var sink bytes.Buffer
	b.Run("anew", func(b *testing.B) {
		w := NewWriter(&sink)
		for b.Loop() {
			sink.Reset()
			w.Put(m)
		}
	})
	b.Run("packed", func(b *testing.B) {
		w := NewWriter(&sink)
		p, err := PackTable(table)
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			sink.Reset()
			w.PutPacked(m, p)
		}
	})
}

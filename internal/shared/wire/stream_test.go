package wire

import (
	"bytes"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// Messages on one connection decode to what was sent, except that the receiver is omitted, and the sender too while it is
// unchanged.
func TestMessagesRoundTripOverOneConnection(t *testing.T) {
	m := &Message{Kind: KindPush, From: "a", To: "b", Disk: 7, Epoch: 1, Term: 2, Timestamp: -3,
		Push: &Push{LeaseGranted: true, Key: TableKey{1, 2, 3}, ProbeTargets: []TargetID{{"s", "a", 1}, {"s", "b", 2}}, Table: &Table{Key: TableKey{1, 2, 3}, Document: []byte("{}"),
			State: []byte{1}, Proxies: []Proxy{{"g", "x", "d", true}}, EmptiedDomains: []string{"d1", "d2"},
			Targets: []Target{{Service: "s", Name: "n", Incarnation: 9, Demand: 0.5, Draining: true, EjectionLeft: 5}}}},
		Append: &Append{Entries: []Entry{{1, 2, 3, []byte("x")}}, Chunk: &Chunk{IsEntry: true, Index: 4, Term: 3, Kind: 2, Members: []Member{{"a", 1}}, Size: 9, Checksum: 8, Offset: 7, Data: []byte("q")}}}
	var buf bytes.Buffer
	w, r := NewWriter(&buf), NewReader(&buf)
	for i, from := range []string{"a", "", "c"} {
		_, err := w.Put(m)
		must(t, err)
		must(t, w.Flush())
		b, err := r.Next()
		must(t, err)
		got, err := Decode(b)
		must(t, err)
		want := *m
		want.From, want.To = from, ""
		if !reflect.DeepEqual(&want, got) {
			t.Fatalf("message %d differs; tables:\nsent %+v\ngot  %+v", i, m.Push.Table, got.Push.Table)
		}
		if i == 1 {
			m.From = "c"
		}
	}
}

// Unpack reverses Pack for any words, and rejects truncated input and input that does not unpack to the requested size.
func TestPackedWordsUnpackToTheirSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b []byte
		for range rapid.IntRange(0, 6).Draw(t, "runs") {
			n := wordSize * rapid.SampledFrom([]int{1, 2, 3, 255, 256, 257}).Draw(t, "words")
			some := rapid.SliceOfN(rapid.SampledFrom([]byte{0, 0, 1, 200}), wordSize, wordSize).Draw(t, "word")
			for i := range n {
				b = append(b, some[i%wordSize])
			}
		}
		p := Pack(nil, b)
		if got, err := Unpack(nil, p, len(b)); err != nil || !bytes.Equal(got, b) {
			t.Fatalf("error %v: Pack and Unpack turned %x into %x", err, b, got)
		}
		if len(b) > 0 {
			if _, err := Unpack(nil, p, len(b)-wordSize); err == nil {
				t.Fatal("Unpack accepted input that exceeds the requested size")
			}
			if _, err := Unpack(nil, p[:len(p)-1], len(b)); err == nil {
				t.Fatal("Unpack accepted truncated input")
			}
		}
	})
}

// The messages that a proxy and the leader exchange when nothing changes take at most 90 bytes each.
func TestMessagesWithoutChangesAreSmall(t *testing.T) {
	k := TableKey{3, 41, 51234}
	for name, m := range map[string]*Message{
		"pull": {Kind: KindPull, From: "proxy-in-a-domain-17", Epoch: 3, Disk: 0x1234567890abcdef, Timestamp: 123456789012, Pull: &Pull{Key: k, Revision: 12, StateIndex: 301}},
		"push": {Kind: KindPush, From: "core-in-a-domain-2", Epoch: 3, Term: 41, Disk: 0x1234567890abcdef, Timestamp: 123456789012, Push: &Push{LeaseGranted: true, Key: k}},
	} {
		var buf bytes.Buffer
		w := NewWriter(&buf)
		for range 2 {
			buf.Reset()
			_, err := w.Put(m)
			must(t, err)
			must(t, w.Flush())
		}
		if n := buf.Len(); n > 90 {
			t.Errorf("a %s without changes takes %d bytes, want at most 90", name, n)
		}
	}
}

// FuzzUnpack checks that Unpack never returns more than the requested size, and that its results round-trip.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte{0, 255, 0, 255}, uint8(9))
	f.Add([]byte{255, 1, 2, 3, 4, 5, 6, 7, 8, 1, 1, 2, 3, 4, 5, 6, 7, 8}, uint8(2))
	f.Fuzz(func(t *testing.T, b []byte, words uint8) {
		got, err := Unpack(nil, b, int(words)*wordSize)
		if len(got) > int(words)*wordSize {
			t.Fatalf("unpacked to %d bytes, more than the %d requested", len(got), int(words)*wordSize)
		}
		if err == nil {
			if again, err := Unpack(nil, Pack(nil, got), len(got)); err != nil || !bytes.Equal(again, got) {
				t.Fatalf("error %v: Pack and Unpack turned %x into %x", err, got, again)
			}
		}
	})
}

package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"testing"

	capnp "capnproto.org/go/capnp/v3"
	"capnproto.org/go/capnp/v3/pogs"
	"capnproto.org/go/capnp/v3/schemas"
	"pgregory.net/rapid"
)

func TestRoundTrip(t *testing.T) {
	m := &Message{Kind: KindPush, From: "a", To: "b", Disk: 7, Epoch: 1, Term: 2, Timestamp: -3,
		Push: &Push{LeaseGranted: true, Key: TableKey{1, 2, 3}, ProbeTargets: []TargetID{{"s", "a", 1}, {"s", "b", 2}}, Table: &Table{Key: TableKey{1, 2, 3}, Document: []byte("{}"),
			State: []byte{1}, Proxies: []Proxy{{"g", "x", "d", true}}, EmptiedDomains: []string{"d1", "d2"},
			Targets: []Target{{Service: "s", Name: "n", Incarnation: 9, Demand: 0.5, Draining: true, EjectionLeft: 5}}}},
		Append: &Append{Entries: []Entry{{1, 2, 3, []byte("x")}}, Chunk: &Chunk{IsEntry: true, Index: 4, Term: 3, Kind: 2, Members: []Member{{"a", 1}}, Size: 9, Checksum: 8, Offset: 7, Data: []byte("q")}}}
	var buf bytes.Buffer
	w, r := NewWriter(&buf), NewReader(&buf)
	for i, from := range []string{"a", "", "c"} { // whom it is for goes unsaid, who says it is said when that is new
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
			t.Fatalf("sent %+v\ngot  %+v", m.Push.Table, got.Push.Table)
		}
		if i == 1 {
			m.From = "c"
		}
	}
}

// Whatever whole words are packed come back, and nothing that was packed comes to more than it says.
func TestPacked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b []byte
		for range rapid.IntRange(0, 6).Draw(t, "runs") {
			n := word * rapid.SampledFrom([]int{1, 2, 3, 255, 256, 257}).Draw(t, "words")
			some := rapid.SliceOfN(rapid.SampledFrom([]byte{0, 0, 1, 200}), word, word).Draw(t, "word")
			for i := range n {
				b = append(b, some[i%word])
			}
		}
		p := Pack(nil, b)
		if got, err := Unpack(nil, p, len(b)); err != nil || !bytes.Equal(got, b) {
			t.Fatalf("%v: %x -> %x", err, b, got)
		}
		if len(b) > 0 {
			if _, err := Unpack(nil, p, len(b)-word); err == nil {
				t.Fatal("more than was foretold was taken")
			}
			if _, err := Unpack(nil, p[:len(p)-1], len(b)); err == nil {
				t.Fatal("a cut one was taken")
			}
		}
	})
}

// What each proxy and its leader say at rest stays small.
func TestAtRestLittleIsSaid(t *testing.T) {
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
			t.Errorf("a %s takes %d bytes", name, n)
		}
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte{0, 255, 0, 255}, uint8(9))
	f.Add([]byte{255, 1, 2, 3, 4, 5, 6, 7, 8, 1, 1, 2, 3, 4, 5, 6, 7, 8}, uint8(2))
	f.Fuzz(func(t *testing.T, b []byte, words uint8) {
		got, err := Unpack(nil, b, int(words)*word)
		if len(got) > int(words)*word {
			t.Fatalf("%d bytes", len(got))
		}
		if err == nil {
			if again, err := Unpack(nil, Pack(nil, got), len(got)); err != nil || !bytes.Equal(again, got) {
				t.Fatalf("%v: %x -> %x", err, got, again)
			}
		}
	})
}

// ---- the same by reflection, as the judge of the hand-written conversion ----

func init() { RegisterSchema(schemas.DefaultRegistry) }

func reflected[T ~capnp.StructKind](t fataler, id uint64, create func(*capnp.Segment) (T, error), v any) []byte {
	t.Helper()
	cm, seg, err := capnp.NewMessage(capnp.SingleSegment(nil))
	must(t, err)
	c, err := create(seg)
	must(t, err)
	must(t, pogs.Insert(id, capnp.Struct(c), v))
	b, err := cm.Marshal()
	must(t, err)
	return b
}

func extracted(t fataler, id uint64, b []byte, v any) {
	t.Helper()
	cm, err := capnp.Unmarshal(b)
	must(t, err)
	root, err := cm.Root()
	must(t, err)
	must(t, pogs.Extract(v, id, root.Struct()))
}

type fataler interface {
	Helper()
	Fatal(...any)
	Fatalf(string, ...any)
}

func must(t fataler, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// trimmed makes empty lists nil all through what v points to, as reading does. Bytes stay.
func trimmed[T any](v T) T {
	trim(reflect.ValueOf(v))
	return v
}

func trim(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			trim(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			trim(v.Field(i))
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return
		}
		if v.Len() == 0 {
			v.SetZero()
		}
		for i := range v.Len() {
			trim(v.Index(i))
		}
	}
}

// carried checks all that holds for any message or batch: it comes back as it was, also where one
// side works by reflection, the bytes are those that reflection makes, and the size was foretold.
func carried[V any, C ~capnp.StructKind](t fataler, v *V, size int, id uint64, create func(*capnp.Segment) (C, error),
	encode func(*V) ([]byte, error), decode func([]byte) (*V, error)) {
	t.Helper()
	old := reflected(t, id, create, v)
	b, err := encode(v)
	must(t, err)
	want := trimmed(v)
	same := func(how string, got *V) {
		t.Helper()
		if !reflect.DeepEqual(want, got) {
			t.Fatalf("%s:\nsent %s\ngot  %s", how, shown(want), shown(got))
		}
	}
	got, err := decode(b)
	must(t, err)
	same("both ways", got)
	got, err = decode(old)
	must(t, err)
	same("written by reflection", got)
	got = new(V)
	extracted(t, id, b, got)
	same("read by reflection", got)
	if !bytes.Equal(b, reflected(t, id, create, want)) {
		t.Fatal("the bytes are not those that reflection makes")
	}
	if len(b) != header+root+size {
		t.Fatalf("%d bytes, foretold were %d", len(b), header+root+size)
	}
	got, err = decode(b)
	must(t, err)
	for i := range b {
		b[i] ^= 0xff
	}
	same("after its bytes were overwritten", got)
}

func shown(v any) string {
	b, err := json.Marshal(v)
	return fmt.Sprintf("%s %v", b, err)
}

func msgCarried(t fataler, m *Message) {
	t.Helper()
	carried(t, m, m.size(), MessageC_TypeID, NewRootMessageC, Encode, Decode)
}

func batchCarried(t fataler, b *Batch) {
	t.Helper()
	carried(t, b, b.size(), BatchC_TypeID, NewRootBatchC, EncodeBatch, DecodeBatch)
}

func TestAnyMessageIsCarried(t *testing.T) {
	cfg := rapid.MakeConfig{Types: map[reflect.Type]*rapid.Generator[any]{
		reflect.TypeFor[[]byte](): rapid.OneOf(rapid.Just([]byte(nil)), rapid.SliceOf(rapid.Byte())).AsAny(),
	}}
	msgs, batches := rapid.MakeCustom[*Message](cfg), rapid.MakeCustom[*Batch](cfg)
	t.Run("msg", rapid.MakeCheck(func(t *rapid.T) {
		if m := msgs.Draw(t, "msg"); m != nil {
			msgCarried(t, m)
		}
	}))
	t.Run("batch", rapid.MakeCheck(func(t *rapid.T) {
		if b := batches.Draw(t, "batch"); b != nil {
			batchCarried(t, b)
		}
	}))
}

// fill gives every field a value of its own that isn't zero, so that one that isn't carried shows.
func fill(t fataler, v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i), n)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 3, 3))
		for i := range v.Len() {
			fill(t, v.Index(i), n)
		}
	case reflect.String:
		v.SetString(fmt.Sprint("text ", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Uint8:
		v.SetUint(uint64(*n%255 + 1))
	case reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Int64:
		v.SetInt(-int64(*n))
	case reflect.Float64:
		v.SetFloat(float64(*n) / 4)
	default:
		t.Fatalf("no value for a %s", v.Type())
	}
}

func TestEveryFieldIsCarried(t *testing.T) {
	n := 0
	m, b := &Message{}, &Batch{}
	fill(t, reflect.ValueOf(m).Elem(), &n)
	fill(t, reflect.ValueOf(b).Elem(), &n)
	msgCarried(t, m)
	batchCarried(t, b)
	msgCarried(t, &Message{})
	batchCarried(t, &Batch{})
}

// Each boolean of every struct is set alone, since fill can't tell two of them apart.
func TestEveryBoolIsCarriedAlone(t *testing.T) {
	for k := 0; ; k++ {
		n, at := 0, 0
		m, b := &Message{}, &Batch{}
		fill(t, reflect.ValueOf(m).Elem(), &n)
		fill(t, reflect.ValueOf(b).Elem(), &n)
		only(reflect.ValueOf(m).Elem(), k, &at)
		only(reflect.ValueOf(b).Elem(), k, &at)
		if k == at {
			return
		}
		msgCarried(t, m)
		batchCarried(t, b)
	}
}

func only(v reflect.Value, k int, at *int) {
	switch v.Kind() {
	case reflect.Pointer:
		only(v.Elem(), k, at)
	case reflect.Struct:
		for i := range v.NumField() {
			only(v.Field(i), k, at)
		}
	case reflect.Slice:
		for i := range v.Len() {
			only(v.Index(i), k, at)
		}
	case reflect.Bool:
		v.SetBool(*at == k)
		*at++
	}
}

func TestLongListsAreCarried(t *testing.T) {
	const n = 5000
	m, p := tableOf(n), pullOf(n)
	h := &Message{Hello: &Hello{}}
	b := &Batch{Snapshot: &Snapshot{}}
	for i := range n {
		name := fmt.Sprint("name-", i)
		h.Hello.Daemons = append(h.Hello.Daemons, Daemon{Name: name, State: fmt.Sprint(i % 50), Incarnation: uint64(i)})
		h.Hello.Members = append(h.Hello.Members, Member{name, uint64(i)})
		h.Hello.LostMembers = append(h.Hello.LostMembers, name)
		b.Entries = append(b.Entries, Entry{uint64(i), 2, 3, []byte(name)[:i%len(name)]})
		b.Snapshot.Members = append(b.Snapshot.Members, Member{name, 0})
		m.Push.Table.Proxies = append(m.Push.Table.Proxies, Proxy{Name: name})
		m.Push.Table.EmptiedDomains = append(m.Push.Table.EmptiedDomains, name)
		m.Push.Table.PreviousProxies = append(m.Push.Table.PreviousProxies, name)
	}
	p.Append = &Append{Entries: b.Entries, Chunk: &Chunk{Members: b.Snapshot.Members, Data: []byte(fmt.Sprint(n))}}
	for _, m := range []*Message{m, p, h} {
		msgCarried(t, m)
	}
	batchCarried(t, b)
}

func TestOddNumbersAreCarried(t *testing.T) {
	for _, x := range []float64{math.Inf(1), math.Inf(-1), math.MaxFloat64, math.Copysign(0, -1)} {
		msgCarried(t, &Message{Timestamp: math.MinInt64, Disk: math.MaxUint64, Heartbeat: &Target{Demand: x, EjectionLeft: math.MinInt64}})
	}
}

// ---- bytes that nobody of ours wrote ----

// liar is a hello whose list of daemons claims as many elements as a list can have, and takes no room.
func liar(t fataler) []byte {
	cm, seg := capnp.NewSingleSegmentMessage(nil)
	c, err := NewRootMessageC(seg)
	must(t, err)
	h, err := c.NewHello()
	must(t, err)
	must(t, capnp.Struct(h).SetPtr(1, capnp.NewVoidList(seg, 1<<29-1).ToPtr()))
	b, err := cm.Marshal()
	must(t, err)
	return b
}

// knot is a table whose two lists of names, and all the names in them, are one.
func knot(t fataler) []byte {
	cm, seg := capnp.NewSingleSegmentMessage(nil)
	c, err := NewRootMessageC(seg)
	must(t, err)
	p, err := c.NewPush()
	must(t, err)
	tab, err := p.NewTable()
	must(t, err)
	s, err := capnp.NewText(seg, string(bytes.Repeat([]byte("n"), 1000)))
	must(t, err)
	l, err := capnp.NewPointerList(seg, 500)
	must(t, err)
	for i := range l.Len() {
		must(t, l.Set(i, s.ToPtr()))
	}
	must(t, tab.SetEmptiedDomains(capnp.TextList(l)))
	must(t, tab.SetPreviousProxies(capnp.TextList(l)))
	b, err := cm.Marshal()
	must(t, err)
	return b
}

func TestLengthsAreNotTrusted(t *testing.T) {
	for name, b := range map[string][]byte{"liar": liar(t), "knot": knot(t)} {
		if m, err := Decode(b); err == nil || m != nil {
			t.Errorf("%s was taken for a message", name)
		}
	}
	if got := testing.AllocsPerRun(10, func() { Decode(liar(t)) }); got > 200 {
		t.Errorf("%v allocations for a lie", got)
	}
}

func FuzzDecode(f *testing.F) {
	n := 0
	m, b := &Message{}, &Batch{}
	fill(f, reflect.ValueOf(m).Elem(), &n)
	fill(f, reflect.ValueOf(b).Elem(), &n)
	for _, m := range []*Message{{}, m, tableOf(3), pullOf(3)} {
		b, err := Encode(m)
		must(f, err)
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	bb, err := EncodeBatch(b)
	must(f, err)
	f.Add(bb)
	f.Add(liar(f))
	f.Add(knot(f))
	f.Add([]byte(nil))
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, b []byte) {
		// What is taken for a message is what reflection takes it for, and comes back as it was.
		// Compared as bytes: a number that isn't one differs from itself.
		if m, err := Decode(b); err == nil {
			again, err := Encode(m)
			must(t, err)
			old := &Message{}
			extracted(t, MessageC_TypeID, b, old)
			if !bytes.Equal(again, reflected(t, MessageC_TypeID, NewRootMessageC, trimmed(old))) {
				t.Fatalf("got  %+v\nwant %+v", m, old)
			}
			m, err = Decode(again)
			must(t, err)
			third, err := Encode(m)
			must(t, err)
			if !bytes.Equal(again, third) {
				t.Fatal("not the same when carried once more")
			}
		}
		if m, err := DecodeBatch(b); err == nil {
			again, err := EncodeBatch(m)
			must(t, err)
			old := &Batch{}
			extracted(t, BatchC_TypeID, b, old)
			if !bytes.Equal(again, reflected(t, BatchC_TypeID, NewRootBatchC, trimmed(old))) {
				t.Fatalf("got  %+v\nwant %+v", m, old)
			}
		}
	})
}

// ---- what it costs ----

// tableOf is a table as a leader pushes it to a proxy: n targets of a few services and
// domains, their gates and no document, which most pushes come without.
func tableOf(n int) *Message {
	t := &Table{Key: TableKey{1, 2, 3}, StateIndex: 4, Revision: 5, State: []byte(`{"admitted":true}`)}
	for i := range 6 {
		t.Proxies = append(t.Proxies, Proxy{fmt.Sprint("gate-", i), fmt.Sprintf("10.0.0.%d:9000", i), fmt.Sprint("domain-", i%3), true})
	}
	for i := range n {
		t.Targets = append(t.Targets, Target{Service: fmt.Sprint("service-", i*9/n), Name: fmt.Sprintf("service-%d-%d", i*9/n, i),
			Incarnation: uint64(1000 + i), Addr: fmt.Sprintf("10.0.%d.%d:8080", i/200, i%200), Domain: fmt.Sprint("domain-", i%3),
			State: "ready", Demand: 0.25, HasDemand: true, Heartbeating: true, ShareOffset: uint32(i), Slots: 8, Number: uint64(i)})
	}
	return &Message{Kind: KindPush, From: "core-1", To: "gate-2", Disk: 7, Epoch: 1, Term: 2, Timestamp: 9,
		Push: &Push{LeaseGranted: true, Key: t.Key, Table: t}}
}

// pullOf is a proxy's question with what it saw of n targets.
func pullOf(n int) *Message {
	p := &Pull{Self: Daemon{Name: "gate-2", Kind: "gate", Domain: "domain-1", Addr: "10.0.0.2:9000", HTTP: "10.0.0.2:80",
		Incarnation: 3, Ready: true, State: "serving"}, Key: TableKey{1, 2, 3}, Revision: 5, StateIndex: 4}
	for i := range n {
		p.Stats = append(p.Stats, TargetStats{Service: fmt.Sprint("service-", i*9/n), Name: fmt.Sprintf("service-%d-%d", i*9/n, i),
			Incarnation: uint64(1000 + i), Successes: 40, TotalMs: 120, Demand: 0.25, HasDemand: true})
	}
	return &Message{Kind: KindPull, From: "gate-2", To: "core-1", Timestamp: 9, Pull: p}
}

func BenchmarkWire(b *testing.B) {
	for _, c := range []struct {
		name string
		m    *Message
	}{{"table36", tableOf(36)}, {"table300", tableOf(300)}, {"pull36", pullOf(36)}} {
		bytes, err := Encode(c.m)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(c.name+"/encode", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Encode(c.m); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(c.name+"/decode", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Decode(bytes); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

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

// The tests compare Encode and Decode with the Cap'n Proto library's reflection-based conversion (package pogs).

func init() { RegisterSchema(schemas.DefaultRegistry) }

func encodedByReflection[T ~capnp.StructKind](t testingT, id uint64, create func(*capnp.Segment) (T, error), v any) []byte {
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

func decodeByReflection(t testingT, id uint64, b []byte, v any) {
	t.Helper()
	cm, err := capnp.Unmarshal(b)
	must(t, err)
	root, err := cm.Root()
	must(t, err)
	must(t, pogs.Extract(v, id, root.Struct()))
}

type testingT interface {
	Helper()
	Fatal(...any)
	Fatalf(string, ...any)
}

func must(t testingT, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// emptyListsToNil replaces all empty lists in the value that v points to by nil, as decoding does, except byte slices.
func emptyListsToNil[T any](v T) T {
	clearEmptyLists(reflect.ValueOf(v))
	return v
}

func clearEmptyLists(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			clearEmptyLists(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			clearEmptyLists(v.Field(i))
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return
		}
		if v.Len() == 0 {
			v.SetZero()
		}
		for i := range v.Len() {
			clearEmptyLists(v.Index(i))
		}
	}
}

// checkRoundTrip checks the invariants of encoding and decoding a message or batch: it decodes to the same
// value, also if one of the two sides uses reflection; the bytes equal those encoded by reflection; their
// length is the computed size; and the decoded value does not alias them.
func checkRoundTrip[V any, C ~capnp.StructKind](t testingT, v *V, size int, id uint64, create func(*capnp.Segment) (C, error),
	encode func(*V) ([]byte, error), decode func([]byte) (*V, error)) {
	t.Helper()
	reflected := encodedByReflection(t, id, create, v)
	b, err := encode(v)
	must(t, err)
	want := emptyListsToNil(v)
	expectEqual := func(how string, got *V) {
		t.Helper()
		if !reflect.DeepEqual(want, got) {
			t.Fatalf("%s:\nsent %s\ngot  %s", how, formatJSON(want), formatJSON(got))
		}
	}
	got, err := decode(b)
	must(t, err)
	expectEqual("encoded by Encode, decoded by Decode", got)
	got, err = decode(reflected)
	must(t, err)
	expectEqual("encoded by reflection, decoded by Decode", got)
	got = new(V)
	decodeByReflection(t, id, b, got)
	expectEqual("encoded by Encode, decoded by reflection", got)
	if !bytes.Equal(b, encodedByReflection(t, id, create, want)) {
		t.Fatal("the encoded bytes differ from those encoded by reflection")
	}
	if len(b) != headerSize+rootSize+size {
		t.Fatalf("encoded size is %d bytes, computed size is %d", len(b), headerSize+rootSize+size)
	}
	got, err = decode(b)
	must(t, err)
	for i := range b {
		b[i] ^= 0xff
	}
	expectEqual("after the encoded bytes were overwritten", got)
}

func formatJSON(v any) string {
	b, err := json.Marshal(v)
	return fmt.Sprintf("%s %v", b, err)
}

func checkMessage(t testingT, m *Message) {
	t.Helper()
	checkRoundTrip(t, m, m.size(), MessageC_TypeID, NewRootMessageC, Encode, Decode)
}

func checkBatch(t testingT, b *Batch) {
	t.Helper()
	checkRoundTrip(t, b, b.size(), BatchC_TypeID, NewRootBatchC, EncodeBatch, DecodeBatch)
}

func TestAnyMessageRoundTrips(t *testing.T) {
	cfg := rapid.MakeConfig{Types: map[reflect.Type]*rapid.Generator[any]{
		reflect.TypeFor[[]byte](): rapid.OneOf(rapid.Just([]byte(nil)), rapid.SliceOf(rapid.Byte())).AsAny(),
	}}
	msgs, batches := rapid.MakeCustom[*Message](cfg), rapid.MakeCustom[*Batch](cfg)
	t.Run("msg", rapid.MakeCheck(func(t *rapid.T) {
		if m := msgs.Draw(t, "msg"); m != nil {
			checkMessage(t, m)
		}
	}))
	t.Run("batch", rapid.MakeCheck(func(t *rapid.T) {
		if b := batches.Draw(t, "batch"); b != nil {
			checkBatch(t, b)
		}
	}))
}

// fillDistinct sets every field to a distinct non-zero value, so that a lost or swapped field is detected.
func fillDistinct(t testingT, v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillDistinct(t, v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			fillDistinct(t, v.Field(i), n)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 3, 3))
		for i := range v.Len() {
			fillDistinct(t, v.Index(i), n)
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
		t.Fatalf("fillDistinct does not support type %s", v.Type())
	}
}

func TestEveryFieldRoundTrips(t *testing.T) {
	n := 0
	m, b := &Message{}, &Batch{}
	fillDistinct(t, reflect.ValueOf(m).Elem(), &n)
	fillDistinct(t, reflect.ValueOf(b).Elem(), &n)
	checkMessage(t, m)
	checkBatch(t, b)
	checkMessage(t, &Message{})
	checkBatch(t, &Batch{})
}

// Each boolean field is set alone in turn, since fillDistinct sets all of them to true and so cannot detect that two
// are swapped.
func TestEveryBoolRoundTripsAlone(t *testing.T) {
	for k := 0; ; k++ {
		n, at := 0, 0
		m, b := &Message{}, &Batch{}
		fillDistinct(t, reflect.ValueOf(m).Elem(), &n)
		fillDistinct(t, reflect.ValueOf(b).Elem(), &n)
		setOnlyBool(reflect.ValueOf(m).Elem(), k, &at)
		setOnlyBool(reflect.ValueOf(b).Elem(), k, &at)
		if k == at {
			return
		}
		checkMessage(t, m)
		checkBatch(t, b)
	}
}

// setOnlyBool sets the k-th boolean field in v to true and all others to false. at counts the boolean fields.
func setOnlyBool(v reflect.Value, k int, at *int) {
	switch v.Kind() {
	case reflect.Pointer:
		setOnlyBool(v.Elem(), k, at)
	case reflect.Struct:
		for i := range v.NumField() {
			setOnlyBool(v.Field(i), k, at)
		}
	case reflect.Slice:
		for i := range v.Len() {
			setOnlyBool(v.Index(i), k, at)
		}
	case reflect.Bool:
		v.SetBool(*at == k)
		*at++
	}
}

func TestLongListsRoundTrip(t *testing.T) {
	const n = 5000
	m, p := pushOfTargets(n), pullOfStats(n)
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
		checkMessage(t, m)
	}
	checkBatch(t, b)
}

func TestExtremeNumbersRoundTrip(t *testing.T) {
	for _, x := range []float64{math.Inf(1), math.Inf(-1), math.MaxFloat64, math.Copysign(0, -1)} {
		checkMessage(t, &Message{Timestamp: math.MinInt64, Disk: math.MaxUint64, Heartbeat: &Target{Demand: x, EjectionLeft: math.MinInt64}})
	}
}

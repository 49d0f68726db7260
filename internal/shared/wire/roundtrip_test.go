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

// Encoding and decoding are checked against the library's own conversion by reflection (pogs).

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

// emptyListsToNil sets empty lists to nil all through what v points to, as decoding does. Byte slices stay.
func emptyListsToNil[T any](v T) T {
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

// checkRoundTrip checks what holds for any message or batch: it decodes to what was encoded, also where
// one side works by reflection; the bytes are those of reflection; and the size is the one computed.
func checkRoundTrip[V any, C ~capnp.StructKind](t testingT, v *V, size int, id uint64, create func(*capnp.Segment) (C, error),
	encode func(*V) ([]byte, error), decode func([]byte) (*V, error)) {
	t.Helper()
	old := encodedByReflection(t, id, create, v)
	b, err := encode(v)
	must(t, err)
	want := emptyListsToNil(v)
	same := func(how string, got *V) {
		t.Helper()
		if !reflect.DeepEqual(want, got) {
			t.Fatalf("%s:\nsent %s\ngot  %s", how, shown(want), shown(got))
		}
	}
	got, err := decode(b)
	must(t, err)
	same("encoded and decoded", got)
	got, err = decode(old)
	must(t, err)
	same("written by reflection", got)
	got = new(V)
	decodeByReflection(t, id, b, got)
	same("read by reflection", got)
	if !bytes.Equal(b, encodedByReflection(t, id, create, want)) {
		t.Fatal("the bytes are not those of reflection")
	}
	if len(b) != headerSize+rootSize+size {
		t.Fatalf("%d bytes, computed were %d", len(b), headerSize+rootSize+size)
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

// fillDistinct gives every field a distinct value that is not zero, so that a field that is lost or swapped shows.
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
		t.Fatalf("no value for a %s", v.Type())
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

// Each boolean of every struct is set alone, since fillDistinct can't tell two of them apart.
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

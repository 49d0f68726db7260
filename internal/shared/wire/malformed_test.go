package wire

import (
	"bytes"
	"reflect"
	"testing"

	capnp "capnproto.org/go/capnp/v3"
)

// listOfImpossibleLength returns an encoded hello whose list of daemons claims the maximum number of elements but
// takes no bytes.
func listOfImpossibleLength(t testingT) []byte {
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

// listsSharingPointers returns an encoded table whose two lists of names point to the same list, with all its
// elements pointing to the same text, so that a small message expands to a large one.
func listsSharingPointers(t testingT) []byte {
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

// Decode rejects a message that claims more list elements than its size allows, without allocating for them.
func TestClaimedLengthsAreNotTrusted(t *testing.T) {
	for name, b := range map[string][]byte{"list of impossible length": listOfImpossibleLength(t), "lists sharing pointers": listsSharingPointers(t)} {
		if m, err := Decode(b); err == nil || m != nil {
			t.Errorf("%s: Decode returned no error", name)
		}
	}
	if got := testing.AllocsPerRun(10, func() { Decode(listOfImpossibleLength(t)) }); got > 200 {
		t.Errorf("%v allocations for a list of impossible length, want at most 200", got)
	}
}

// FuzzDecode checks that Decode and DecodeBatch handle any input, and agree with decoding by reflection.
func FuzzDecode(f *testing.F) {
	n := 0
	m, b := &Message{}, &Batch{}
	fillDistinct(f, reflect.ValueOf(m).Elem(), &n)
	fillDistinct(f, reflect.ValueOf(b).Elem(), &n)
	for _, m := range []*Message{{}, m, pushOfTargets(3), pullOfStats(3)} {
		b, err := Encode(m)
		must(f, err)
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	bb, err := EncodeBatch(b)
	must(f, err)
	f.Add(bb)
	f.Add(listOfImpossibleLength(f))
	f.Add(listsSharingPointers(f))
	f.Add([]byte(nil))
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, b []byte) {
		// Input that Decode accepts decodes to the same message by reflection, and round-trips. The
		// comparison is of encoded bytes, since NaN does not equal itself.
		if m, err := Decode(b); err == nil {
			again, err := Encode(m)
			must(t, err)
			reflected := &Message{}
			decodeByReflection(t, MessageC_TypeID, b, reflected)
			if !bytes.Equal(again, encodedByReflection(t, MessageC_TypeID, NewRootMessageC, emptyListsToNil(reflected))) {
				t.Fatalf("Decode and decoding by reflection give different messages:\ngot  %+v\nwant %+v", m, reflected)
			}
			m, err = Decode(again)
			must(t, err)
			third, err := Encode(m)
			must(t, err)
			if !bytes.Equal(again, third) {
				t.Fatal("decoding and encoding a second time changed the bytes")
			}
		}
		if m, err := DecodeBatch(b); err == nil {
			again, err := EncodeBatch(m)
			must(t, err)
			reflected := &Batch{}
			decodeByReflection(t, BatchC_TypeID, b, reflected)
			if !bytes.Equal(again, encodedByReflection(t, BatchC_TypeID, NewRootBatchC, emptyListsToNil(reflected))) {
				t.Fatalf("DecodeBatch and decoding by reflection give different batches:\ngot  %+v\nwant %+v", m, reflected)
			}
		}
	})
}

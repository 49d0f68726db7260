package wire

import (
	"bytes"
	"reflect"
	"testing"

	capnp "capnproto.org/go/capnp/v3"
)

// listOfImpossibleLength is a hello whose list of daemons claims as many elements as a list can have, and takes no bytes.
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

// listsSharingPointers is a table whose two lists of names are one list, and all names in it one text.
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

func TestClaimedLengthsAreNotTrusted(t *testing.T) {
	for name, b := range map[string][]byte{"list of impossible length": listOfImpossibleLength(t), "lists sharing pointers": listsSharingPointers(t)} {
		if m, err := Decode(b); err == nil || m != nil {
			t.Errorf("%s: decoded as a message", name)
		}
	}
	if got := testing.AllocsPerRun(10, func() { Decode(listOfImpossibleLength(t)) }); got > 200 {
		t.Errorf("%v allocations for a claimed length", got)
	}
}

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
		// What decodes does so by reflection too, and round-trips. Compared as bytes: NaN differs from itself.
		if m, err := Decode(b); err == nil {
			again, err := Encode(m)
			must(t, err)
			old := &Message{}
			decodeByReflection(t, MessageC_TypeID, b, old)
			if !bytes.Equal(again, encodedByReflection(t, MessageC_TypeID, NewRootMessageC, emptyListsToNil(old))) {
				t.Fatalf("got  %+v\nwant %+v", m, old)
			}
			m, err = Decode(again)
			must(t, err)
			third, err := Encode(m)
			must(t, err)
			if !bytes.Equal(again, third) {
				t.Fatal("not the same when encoded once more")
			}
		}
		if m, err := DecodeBatch(b); err == nil {
			again, err := EncodeBatch(m)
			must(t, err)
			old := &Batch{}
			decodeByReflection(t, BatchC_TypeID, b, old)
			if !bytes.Equal(again, encodedByReflection(t, BatchC_TypeID, NewRootBatchC, emptyListsToNil(old))) {
				t.Fatalf("got  %+v\nwant %+v", m, old)
			}
		}
	})
}

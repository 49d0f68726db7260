package wire

// Decoding copies all that it keeps, so that no message refers to the bytes that came in. It trusts
// no length: a message is a tree in which each part is read once, so that no more bytes are read than
// there are, and no more elements are made than there are words, whatever its pointers claim. An
// error stays in the decoder and is looked at once, at the end.

import (
	"bytes"

	capnp "capnproto.org/go/capnp/v3"
	"github.com/cockroachdb/errors"
)

// Decode reads what Encode made. It trusts nothing in b: any bytes give a message or an error. The
// message refers to no part of b.
func Decode(b []byte) (*Message, error) {
	cm, c, err := openRoot(b)
	if err != nil {
		return nil, err
	}
	d := decoder{elementsLeft: len(b) / wordSize}
	m := d.message(MessageC(c))
	cm.Release()
	if d.err != nil {
		return nil, errors.Wrap(d.err, "decode")
	}
	return m, nil
}

// DecodeBatch reads what EncodeBatch made, under the same conditions as Decode.
func DecodeBatch(b []byte) (*Batch, error) {
	cm, c, err := openRoot(b)
	if err != nil {
		return nil, err
	}
	d := decoder{elementsLeft: len(b) / wordSize}
	batch := d.batch(BatchC(c))
	cm.Release()
	if d.err != nil {
		return nil, errors.Wrap(d.err, "decode")
	}
	return batch, nil
}

// openRoot returns a message and its root struct. The message may be read only once all through.
func openRoot(b []byte) (*capnp.Message, capnp.Struct, error) {
	cm, err := capnp.Unmarshal(b)
	if err != nil {
		return nil, capnp.Struct{}, errors.Wrap(err, "unmarshal")
	}
	cm.ResetReadLimit(uint64(len(b)))
	p, err := cm.Root()
	if err != nil {
		return nil, capnp.Struct{}, errors.Wrap(err, "root")
	}
	return cm, p.Struct(), nil
}

// decoder holds what is common to all parts of one message.
type decoder struct {
	err          error      // the first one
	elementsLeft int        // elements of lists that may still come: each takes a word at least
	internTable  [32]string // texts that many elements share, such as a service or a state
}

// ok keeps err if it is the first error, and reports whether it is nil.
func (d *decoder) ok(err error) bool {
	if d.err == nil {
		d.err = err
	}
	return err == nil
}

// count returns how many elements to read of a list that claims n.
func (d *decoder) count(n int, err error) int {
	if !d.ok(err) {
		return 0
	}
	if n < 0 || n > d.elementsLeft {
		d.ok(errors.Newf("a list claims %d elements, the message has at most %d", n, d.elementsLeft))
		return 0
	}
	d.elementsLeft -= n
	return n
}

// readList reads a list of structs, each by read, which fills in one element. An empty list is nil,
// like one that is not there.
func readList[C ~capnp.StructKind, T any](d *decoder, list capnp.StructList[C], err error, read func(C, *T)) []T {
	n := d.count(list.Len(), err)
	if n == 0 {
		return nil
	}
	elements := make([]T, n)
	for i := range elements {
		read(list.At(i), &elements[i])
	}
	return elements
}

func (d *decoder) texts(list capnp.TextList, err error) []string {
	n := d.count(list.Len(), err)
	if n == 0 {
		return nil
	}
	texts := make([]string, n)
	for i := range texts {
		texts[i] = d.text(list.BytesAt(i))
	}
	return texts
}

func (d *decoder) text(b []byte, err error) string {
	d.ok(err)
	return string(b)
}

// interned is text for what many elements of a message share: equal texts are allocated once.
func (d *decoder) interned(b []byte, err error) string {
	d.ok(err)
	if len(b) == 0 {
		return ""
	}
	hash := len(b) + 3*int(b[0]) + 5*int(b[len(b)/2]) + 7*int(b[len(b)-1])
	s := &d.internTable[hash%len(d.internTable)]
	if *s != string(b) {
		*s = string(b)
	}
	return *s
}

func (d *decoder) data(b []byte, err error) []byte {
	d.ok(err)
	return bytes.Clone(b)
}

func (d *decoder) message(c MessageC) *Message {
	return &Message{
		Kind:      Kind(c.Kind()),
		From:      d.text(c.FromBytes()),
		To:        d.text(c.ToBytes()),
		Disk:      c.Disk(),
		Epoch:     c.Epoch(),
		Term:      c.Term(),
		Timestamp: c.Timestamp(),
		Hello:     d.hello(c.Hello()),
		Vote:      d.vote(c.Vote()),
		Append:    d.append(c.Append()),
		Pull:      d.pull(c.Pull()),
		Push:      d.push(c.Push()),
		Heartbeat: d.heartbeat(c.Heartbeat()),
		Call:      d.call(c.Call()),
	}
}

func (d *decoder) daemon(c DaemonC, err error) (daemon Daemon) {
	d.ok(err)
	d.readDaemon(c, &daemon)
	return daemon
}

func (d *decoder) readDaemon(c DaemonC, to *Daemon) {
	*to = Daemon{
		Name:           d.text(c.NameBytes()),
		Kind:           DaemonKind(d.interned(c.KindBytes())),
		Domain:         d.interned(c.DomainBytes()),
		Addr:           d.text(c.AddrBytes()),
		HTTP:           d.text(c.HttpBytes()),
		Incarnation:    c.Incarnation(),
		Disk:           c.Disk(),
		Epoch:          c.Epoch(),
		BootstrapLock:  c.BootstrapLock(),
		Ready:          c.Ready(),
		State:          d.interned(c.StateBytes()),
		BootstrapOffer: c.BootstrapOffer(),
	}
}

func (d *decoder) hello(c HelloC, err error) *Hello {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Hello{
		Self:            d.daemon(c.Self()),
		Daemons:         d.daemons(c.Daemons()),
		Reply:           c.Reply(),
		Leader:          d.text(c.LeaderBytes()),
		Term:            c.Term(),
		RecoveredState:  d.data(c.RecoveredState()),
		Members:         d.members(c.Members()),
		MembersEpoch:    c.MembersEpoch(),
		MembersIndex:    c.MembersIndex(),
		BootstrapEpoch:  c.BootstrapEpoch(),
		LostMembers:     d.texts(c.LostMembers()),
		RecoveryConsent: c.RecoveryConsent(),
	}
}

func (d *decoder) daemons(list DaemonC_List, err error) []Daemon {
	return readList(d, list, err, d.readDaemon)
}

func (d *decoder) call(c CallC, err error) *Call {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Call{
		ID:           c.Id(),
		Reply:        c.Reply(),
		Method:       d.text(c.MethodBytes()),
		Path:         d.text(c.PathBytes()),
		Query:        d.text(c.QueryBytes()),
		Body:         d.data(c.Body()),
		Status:       c.Status(),
		RetryAfterMs: c.RetryAfterMs(),
		Token:        d.text(c.TokenBytes()),
	}
}

package wire

// The decoder copies everything it keeps, so decoded messages do not alias the input. It does not trust
// lengths in the input: a valid message is a tree in which each part is read once, so the decoder reads
// at most as many bytes as the input has, and allocates at most as many list elements as the input has
// words, whatever the pointers claim. The decoder keeps the first error, which is checked once at the end.

import (
	"bytes"

	capnp "capnproto.org/go/capnp/v3"
	"github.com/cockroachdb/errors"
)

// Decode parses the output of Encode. It is safe for untrusted input: any bytes give a message or an
// error. The message does not alias b.
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

// DecodeBatch parses the output of EncodeBatch, with the same guarantees as Decode.
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

// openRoot returns the Cap'n Proto message in b and its root struct. The read limit allows the message to
// be traversed only once.
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

// decoder holds the state shared by all parts of one message.
type decoder struct {
	err          error      // first error
	elementsLeft int        // upper bound of the list elements still to be read; each takes at least a word
	internTable  [32]string // cache of strings that many elements share, such as service names and states
}

// ok records err if it is the first error, and reports whether err is nil.
func (d *decoder) ok(err error) bool {
	if d.err == nil {
		d.err = err
	}
	return err == nil
}

// count returns the number of elements to read from a list whose header claims n. If the message cannot
// contain that many, it records an error and returns 0.
func (d *decoder) count(n int, err error) int {
	if !d.ok(err) {
		return 0
	}
	if n < 0 || n > d.elementsLeft {
		d.ok(errors.Newf("list claims %d elements, but the rest of the message can hold at most %d", n, d.elementsLeft))
		return 0
	}
	d.elementsLeft -= n
	return n
}

// readList decodes a list of structs, calling read to fill in each element. It returns nil for an empty
// list, as for an absent one.
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

// interned is like text, for strings that many elements of a message share: equal strings are allocated
// once, unless a hash collision evicts them from the table.
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

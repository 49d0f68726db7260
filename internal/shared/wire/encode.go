package wire

// Structs are written field by field through the generated accessors, in schema order: the order of
// allocation determines the encoded bytes. The encoder keeps the first error, which is checked once at
// the end.

import (
	"encoding/binary"

	capnp "capnproto.org/go/capnp/v3"
	"github.com/cockroachdb/errors"
)

// Encode returns the unpacked Cap'n Proto encoding of a message. Errors come from the Cap'n Proto library.
func Encode(m *Message) ([]byte, error) {
	buf, cm, seg, err := newMessage(m.size())
	if err != nil {
		return nil, errors.Wrap(err, "new message")
	}
	var e encoder
	if c, err := NewRootMessageC(seg); e.ok(err) {
		e.message(c, m)
	}
	return finish(buf, cm, seg, e.err)
}

// EncodeBatch returns the unpacked Cap'n Proto encoding of a batch, which is the format of a record on
// disk. Errors come from the Cap'n Proto library.
func EncodeBatch(b *Batch) ([]byte, error) {
	buf, cm, seg, err := newMessage(b.size())
	if err != nil {
		return nil, errors.Wrap(err, "new message")
	}
	var e encoder
	if c, err := NewRootBatchC(seg); e.ok(err) {
		e.batch(c, b)
	}
	return finish(buf, cm, seg, e.err)
}

// newMessage returns an empty message with a segment of size bytes, and the buffer that backs it. The
// buffer begins with the header, which finish fills in.
func newMessage(size int) ([]byte, *capnp.Message, *capnp.Segment, error) {
	buf := make([]byte, headerSize+rootSize+size)
	cm, seg, err := capnp.NewMessage(capnp.SingleSegment(buf[headerSize:headerSize:len(buf)]))
	return buf, cm, seg, err
}

// finish writes the header and returns the encoded bytes, or an error if err, from the encoder, is not nil.
func finish(buf []byte, cm *capnp.Message, seg *capnp.Segment, err error) ([]byte, error) {
	n := len(seg.Data())
	cm.Release()
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	binary.LittleEndian.PutUint32(buf[4:], uint32(n/wordSize))
	return buf[:headerSize+n], nil
}

// encoder holds the first error that occurred while encoding a message.
type encoder struct{ err error }

// ok records err if it is the first error, and reports whether err is nil.
func (e *encoder) ok(err error) bool {
	if e.err == nil {
		e.err = err
	}
	return err == nil
}

// newList allocates a list of n elements. ok is false if n is 0 or the allocation fails: an empty list
// is not allocated and decodes as nil.
func newList[L any](e *encoder, n int, allocate func(int32) (L, error)) (list L, ok bool) {
	if n == 0 {
		return list, false
	}
	list, err := allocate(int32(n))
	return list, e.ok(err)
}

func (e *encoder) message(out MessageC, m *Message) {
	out.SetKind(uint16(m.Kind))
	e.ok(out.SetFrom(m.From))
	e.ok(out.SetTo(m.To))
	out.SetDisk(m.Disk)
	out.SetEpoch(m.Epoch)
	out.SetTerm(m.Term)
	out.SetTimestamp(m.Timestamp)
	e.parts(out, m)
}

// parts encodes those parts of a message that are set.
func (e *encoder) parts(out MessageC, m *Message) {
	if m.Hello != nil {
		if c, err := out.NewHello(); e.ok(err) {
			e.hello(c, m.Hello)
		}
	}
	if m.Vote != nil {
		if c, err := out.NewVote(); e.ok(err) {
			e.vote(c, m.Vote)
		}
	}
	if m.Append != nil {
		if c, err := out.NewAppend(); e.ok(err) {
			e.append(c, m.Append)
		}
	}
	if m.Pull != nil {
		if c, err := out.NewPull(); e.ok(err) {
			e.pull(c, m.Pull)
		}
	}
	if m.Push != nil {
		if c, err := out.NewPush(); e.ok(err) {
			e.push(c, m.Push)
		}
	}
	if m.Heartbeat != nil {
		if c, err := out.NewHeartbeat(); e.ok(err) {
			e.target(c, m.Heartbeat)
		}
	}
	if m.Call != nil {
		if c, err := out.NewCall(); e.ok(err) {
			e.call(c, m.Call)
		}
	}
}

func (e *encoder) texts(list capnp.TextList, texts []string) {
	for i, s := range texts {
		e.ok(list.Set(i, s))
	}
}

func (e *encoder) daemon(out DaemonC, d *Daemon) {
	e.ok(out.SetName(d.Name))
	e.ok(out.SetKind(string(d.Kind)))
	e.ok(out.SetDomain(d.Domain))
	e.ok(out.SetAddr(d.Addr))
	e.ok(out.SetHttp(d.HTTP))
	out.SetIncarnation(d.Incarnation)
	out.SetDisk(d.Disk)
	out.SetEpoch(d.Epoch)
	out.SetBootstrapLock(d.BootstrapLock)
	out.SetReady(d.Ready)
	e.ok(out.SetState(d.State))
	out.SetBootstrapOffer(d.BootstrapOffer)
}

func (e *encoder) hello(out HelloC, hello *Hello) {
	if c, err := out.NewSelf(); e.ok(err) {
		e.daemon(c, &hello.Self)
	}
	if list, ok := newList(e, len(hello.Daemons), out.NewDaemons); ok {
		for i := range hello.Daemons {
			e.daemon(list.At(i), &hello.Daemons[i])
		}
	}
	out.SetReply(hello.Reply)
	e.ok(out.SetLeader(hello.Leader))
	out.SetTerm(hello.Term)
	e.ok(out.SetRecoveredState(hello.RecoveredState))
	if list, ok := newList(e, len(hello.Members), out.NewMembers); ok {
		e.members(list, hello.Members)
	}
	out.SetMembersEpoch(hello.MembersEpoch)
	out.SetMembersIndex(hello.MembersIndex)
	out.SetBootstrapEpoch(hello.BootstrapEpoch)
	if list, ok := newList(e, len(hello.LostMembers), out.NewLostMembers); ok {
		e.texts(list, hello.LostMembers)
	}
	out.SetRecoveryConsent(hello.RecoveryConsent)
}

func (e *encoder) call(out CallC, call *Call) {
	out.SetId(call.ID)
	out.SetReply(call.Reply)
	e.ok(out.SetMethod(call.Method))
	e.ok(out.SetPath(call.Path))
	e.ok(out.SetQuery(call.Query))
	e.ok(out.SetBody(call.Body))
	out.SetStatus(call.Status)
	out.SetRetryAfterMs(call.RetryAfterMs)
	e.ok(out.SetToken(call.Token))
}

// This file is the digest of a run: a hash over every event that an owner took, every command
// that it gave, and the bytes of every message and disk batch among them, in their order. It
// names each kind by a constant of its own and writes fields one by one, so that it depends on
// what the daemons do and not on how their code is named. The texts of log lines are left out.

package simulator

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/wire"
)

// digest takes in steps; the zero value is not usable.
type digest struct {
	sum hash.Hash
}

func newDigest() *digest { return &digest{sum: fnv.New128a()} }

// Digest is the hash of the run so far in hexadecimal. The plan must ask for it.
func (w *World) Digest() string { return fmt.Sprintf("%x", w.digest.sum.Sum(nil)) }

// step takes in one step of a process: its name and clock, the event and all commands.
func (d *digest) step(process string, now time.Duration, event any, commands []any) {
	d.text(process)
	d.duration(now)
	d.event(event)
	d.number(uint64(len(commands)))
	for _, c := range commands {
		d.command(c)
	}
}

func (d *digest) event(event any) {
	switch e := event.(type) {
	case controlplane.Recv:
		d.text("recv")
		d.message(e.M)
	case controlplane.Tick:
		d.text("tick")
	case controlplane.Synced:
		d.text("synced")
		d.number(e.Seq)
	case controlplane.DiskRefuses:
		d.text("disk refuses")
		d.flag(e.Err != nil)
	case controlplane.Probed:
		d.text("probed")
		d.id(e.ID)
		d.duration(e.SentAt)
		d.float(e.Ms)
		d.json(e.Beat)
		d.duration(e.Cold)
	case controlplane.Ask:
		d.text("ask")
		d.number(e.ID)
		d.text(e.Token, e.Method, e.Path, e.Query)
		d.bytes(e.Body)
	case controlplane.Stop:
		d.text("stop")
	case dataplane.Admit:
		d.text("admit")
		d.number(e.ID)
		d.text(e.Host, e.Path, e.Method)
		d.duration(e.Timeout)
		d.flag(e.Ahead)
	case dataplane.Again:
		d.text("again")
		d.number(e.ID)
		d.flag(e.Sent)
	case dataplane.Done:
		d.text("done")
		d.number(e.ID)
		d.number(uint64(e.Outcome))
		d.float(e.Ms)
		d.flag(e.Last)
		d.flag(e.Load != nil)
		if e.Load != nil {
			d.number(uint64(e.Load.Running))
			d.number(uint64(e.Load.Waiting))
			d.number(uint64(e.Load.Slots))
		}
	case dataplane.Cancel:
		d.text("cancel")
		d.number(e.ID)
		d.flag(e.Failed)
	default:
		panic(fmt.Sprintf("no digest of event %T", event))
	}
}

func (d *digest) command(command any) {
	switch c := command.(type) {
	case controlplane.Send:
		d.text("send", c.Addr)
		d.message(c.M)
	case controlplane.Sync:
		d.text("sync")
		b, err := wire.EncodeBatch(c.B)
		if err != nil {
			panic(err)
		}
		d.bytes(b)
	case controlplane.Probe:
		d.text("probe")
		d.id(c.ID)
		d.text(c.Addr, c.Path)
	case controlplane.Reply:
		d.text("reply")
		d.number(c.ID)
		d.number(uint64(c.Status))
		d.duration(c.Retry)
		d.bytes(c.Body)
	case controlplane.Note:
		d.text("note")
		d.json(c)
	case controlplane.Change:
		d.text("change")
	case controlplane.Exit:
		d.text("exit")
	default:
		d.proxyCommand(command)
	}
}

func (d *digest) proxyCommand(command any) {
	switch c := command.(type) {
	case dataplane.Give:
		d.text("give")
		d.number(c.ID)
		d.text(c.Service, c.Name)
		d.json(c.Set)
		d.json(c.Route)
		d.json(c.Target)
		d.duration(c.Left)
		d.duration(c.Work)
		d.duration(c.Till)
		d.flag(c.More)
		d.duration(c.Connect)
		d.number(uint64(c.Idle))
	case dataplane.Refuse:
		d.text("refuse")
		d.number(c.ID)
		d.number(uint64(c.Status))
		d.duration(c.Retry)
		d.text(c.Code, c.Message)
		d.text(c.Allowed...)
	case dataplane.Leave:
		d.text("leave")
	case dataplane.CloseIntake:
		d.text("close intake")
		d.duration(c.Left)
	case dataplane.Dark:
		d.text("dark")
		for _, id := range slices.SortedFunc(maps.Keys(c.IDs), wire.ID.Compare) {
			d.id(id)
			d.flag(c.IDs[id])
		}
	case dataplane.Targets:
		d.text("targets")
		for _, id := range slices.SortedFunc(maps.Keys(c.Live), wire.ID.Compare) {
			d.id(id)
			d.text(c.Live[id])
		}
		d.json(c.Limits)
	default:
		panic(fmt.Sprintf("no digest of command %T", command))
	}
}

// message takes in a message as it is on the wire, with its receiver.
func (d *digest) message(m *wire.Msg) {
	b, err := wire.Encode(m)
	if err != nil {
		panic(err)
	}
	d.text(m.To)
	d.bytes(b)
}

func (d *digest) id(id wire.ID) {
	d.text(id.Service, id.Name)
	d.number(id.Inc)
}

// json takes in what has a form in JSON that others read, by that form.
func (d *digest) json(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	d.bytes(b)
}

// bytes takes in a length and that many bytes, so that neighbours can't run together.
func (d *digest) bytes(b []byte) {
	d.number(uint64(len(b)))
	d.sum.Write(b)
}

func (d *digest) text(texts ...string) {
	for _, t := range texts {
		d.bytes([]byte(t))
	}
}

func (d *digest) number(n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	d.sum.Write(b[:])
}

func (d *digest) duration(t time.Duration) { d.number(uint64(t)) }

func (d *digest) float(x float64) { d.number(math.Float64bits(x)) }

func (d *digest) flag(set bool) {
	if set {
		d.number(1)
		return
	}
	d.number(0)
}

// This file computes the digest of a run: a hash over all events that the state machines handled and all commands that they
// returned, in order, including the encoded messages and disk batches. Each kind of event and command has a constant text and
// its fields are written one by one, so that the digest depends on the daemons' behavior and not on names in their code.
// Recorded digests depend on these texts. Log lines are excluded.

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

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// digest hashes steps. Its zero value is not usable.
type digest struct {
	sum hash.Hash
}

func newDigest() *digest { return &digest{sum: fnv.New128a()} }

// Digest returns the hash of the run so far in hexadecimal. It requires Plan.Digest.
func (w *World) Digest() string { return fmt.Sprintf("%x", w.digest.sum.Sum(nil)) }

// step hashes one step of a process: its name and clock, the event and all commands.
func (d *digest) step(process string, now time.Duration, event statemachine.Event, commands []statemachine.Command) {
	d.text(process)
	d.duration(now)
	d.event(event)
	d.number(uint64(len(commands)))
	for _, c := range commands {
		d.command(c)
	}
}

// event hashes an event with all its fields.
func (d *digest) event(event statemachine.Event) {
	switch e := event.(type) {
	case statemachine.Receive:
		d.text("recv")
		d.message(e.Message)
	case statemachine.Tick:
		d.text("tick")
	case statemachine.Synced:
		d.text("synced")
		d.number(e.Seq)
	case statemachine.CallerChecked:
		d.text("caller")
		d.number(e.ID)
		d.flag(e.Connected)
	case statemachine.DiskHealth:
		d.text("disk refuses")
		d.flag(e.Err != nil)
	case statemachine.ProbeResult:
		d.text("probed")
		d.id(e.ID)
		d.duration(e.SentAt)
		d.float(e.Milliseconds)
		d.json(e.Report)
		d.duration(e.WarmupLeft)
	case statemachine.Call:
		d.text("ask")
		d.number(e.ID)
		d.text(e.Token, e.Method, e.Path, e.Query)
		d.bytes(e.Body)
	case statemachine.Stop:
		d.text("stop")
	default:
		d.proxyEvent(event)
	}
}

// proxyEvent hashes an event that only proxies handle.
func (d *digest) proxyEvent(event statemachine.Event) {
	switch e := event.(type) {
	case statemachine.Admit:
		d.text("admit")
		d.number(e.ID)
		d.text(e.Host, e.Path, e.Method)
		d.duration(e.Timeout)
		d.flag(e.Pipelined)
	case statemachine.Retry:
		d.text("again")
		d.number(e.ID)
		d.flag(e.Sent)
	case statemachine.AttemptDone:
		d.text("done")
		d.number(e.ID)
		d.number(uint64(e.Outcome))
		d.float(e.Milliseconds)
		d.flag(e.Last)
		d.flag(e.Load != nil)
		if e.Load != nil {
			d.number(uint64(e.Load.Running))
			d.number(uint64(e.Load.Waiting))
			d.number(uint64(e.Load.Slots))
		}
	case statemachine.Cancel:
		d.text("cancel")
		d.number(e.ID)
		d.flag(e.Failed)
	default:
		panic(fmt.Sprintf("digest: unknown event type %T", event))
	}
}

// command hashes a command with its fields. Of a StateChange, which is only logged, it hashes the kind alone.
func (d *digest) command(command statemachine.Command) {
	switch c := command.(type) {
	case statemachine.Send:
		d.text("send", c.Addr)
		d.message(c.Message)
	case statemachine.Sync:
		d.text("sync")
		b, err := wire.EncodeBatch(c.Batch)
		if err != nil {
			panic(err)
		}
		d.bytes(b)
	case statemachine.Probe:
		d.text("probe")
		d.id(c.ID)
		d.text(c.Addr, c.Path)
	case statemachine.Reply:
		d.text("reply")
		d.number(c.ID)
		d.number(uint64(c.Status))
		d.duration(c.RetryAfter)
		d.bytes(c.Body)
	case statemachine.CheckCaller:
		d.text("caller")
		d.number(c.ID)
	case statemachine.Publish:
		d.text("note")
		d.json(c)
	case statemachine.StateChange:
		d.text("change")
	case statemachine.Exit:
		d.text("exit")
	default:
		d.proxyCommand(command)
	}
}

// proxyCommand hashes a command that only proxies return.
func (d *digest) proxyCommand(command statemachine.Command) {
	switch c := command.(type) {
	case statemachine.Forward:
		d.text("give")
		d.number(c.ID)
		d.text(c.Service, c.RouteName)
		d.json(c.ServiceConfig)
		d.json(c.Route)
		d.json(c.Target)
		d.duration(c.TimeLeft)
		d.duration(c.WorkTime)
		d.duration(c.WriteBy)
		d.flag(c.MayRetry)
		d.duration(c.ConnectTimeout)
		d.number(uint64(c.MaxIdle))
	case statemachine.Reject:
		d.text("refuse")
		d.number(c.ID)
		d.number(uint64(c.Status))
		d.duration(c.RetryAfter)
		d.text(c.Code, c.Message)
		d.text(c.Allowed...)
	case statemachine.CloseAfterResponse:
		d.text("leave")
	case statemachine.StopAccepting:
		d.text("close intake")
		d.duration(c.TimeLeft)
	case statemachine.UnreachableTargets:
		d.text("dark")
		for _, id := range slices.SortedFunc(maps.Keys(c.IDs), wire.TargetID.Compare) {
			d.id(id)
			d.flag(c.IDs[id])
		}
	case statemachine.TargetsChanged:
		d.text("targets")
		for _, id := range slices.SortedFunc(maps.Keys(c.Addresses), wire.TargetID.Compare) {
			d.id(id)
			d.text(c.Addresses[id])
		}
		d.json(c.Limits)
	default:
		panic(fmt.Sprintf("digest: unknown command type %T", command))
	}
}

// message hashes a message in its wire encoding, preceded by its receiver.
func (d *digest) message(m *wire.Message) {
	b, err := wire.Encode(m)
	if err != nil {
		panic(err)
	}
	d.text(m.To)
	d.bytes(b)
}

func (d *digest) id(id wire.TargetID) {
	d.text(id.Service, id.Name)
	d.number(id.Incarnation)
}

// json hashes a value in its JSON encoding, which is part of an external interface.
func (d *digest) json(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	d.bytes(b)
}

// bytes hashes the length of b and then b, so that the boundaries of adjacent fields are part of the hash.
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

// This file is the probes: targets are asked on connections that stay open from one probe
// to the next, either for their health or, where a service has no path for that, who
// they are. What an answer means for a target is the owners' to say.

package host

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"myrtlefold/core"
	"myrtlefold/forward"
	"myrtlefold/limit"
	"myrtlefold/model"
	"myrtlefold/wire"
)

// probed is one target's place: its connection while no probe has it.
type probed struct {
	pipe atomic.Pointer[forward.Conn]
	at   time.Duration
	gone atomic.Bool
}

func (s *probed) put(p *forward.Conn) {
	if old := s.pipe.Swap(p); old != nil {
		old.Close()
	}
	if s.gone.Load() {
		if p = s.pipe.Swap(nil); p != nil {
			p.Close()
		}
	}
}

// Probe asks a target; called on the owner's goroutine.
func (h *Host) Probe(p core.Probe) {
	sent := h.Now()
	if h.probes == nil {
		h.probes = map[wire.ID]*probed{}
		if h.Headers == (forward.Headers{}) {
			h.Headers = forward.Defaults()
		}
	}
	if sent-h.probesAt > limit.ProbeConnIdle/4 {
		h.probesAt = sent
		for id, s := range h.probes {
			if sent-s.at > limit.ProbeConnIdle {
				delete(h.probes, id)
				s.gone.Store(true)
				s.put(nil)
			}
		}
	}
	s := h.probes[p.ID]
	if s == nil {
		s = &probed{}
		h.probes[p.ID] = s
	}
	s.at = sent
	go func() {
		out := core.Probed{ID: p.ID, SentAt: sent}
		out.Beat, out.Cold = ask(s, p, &h.Headers, h)
		out.Ms = float64(h.Now()-sent) / 1e6
		h.Loop.Tell(out)
	}()
}

func ask(s *probed, p core.Probe, names *forward.Headers, h *Host) (*model.Beat, time.Duration) {
	till := time.Now().Add(limit.ProbeCap)
	pipe := s.pipe.Swap(nil)
	for pipe != nil && pipe.Addr() != p.Addr {
		pipe.Close()
		pipe = nil
	}
	for {
		kept := pipe != nil
		if !kept {
			ctx, cancel := context.WithDeadline(context.Background(), till)
			var err error
			pipe, err = forward.Open(ctx, p.Addr, h.From())
			cancel()
			if err != nil {
				return nil, 0
			}
		}
		b, cold, again, err := look(pipe, p, names, till)
		if err == nil && again {
			s.put(pipe)
		} else {
			pipe.Close()
		}
		if err == nil || !kept || time.Now().After(till) {
			return b, cold
		}
		pipe = nil // the kept one was closed meanwhile; a new one tells more
	}
}

// look asks on a connection and reads what the answer says of the target.
func look(pipe *forward.Conn, p core.Probe, names *forward.Headers, till time.Time) (b *model.Beat, cold time.Duration, again bool, err error) {
	if p.Path == "" {
		b, again, err = pipe.Identify(till, p.Addr)
		if err != nil {
			b = nil
		}
		return b, 0, again, err
	}
	left := strconv.FormatInt(max(1, (time.Until(till)-limit.NetHop).Milliseconds()), 10)
	resp, _, again, err := pipe.Get(till, p.Addr, p.Path, names.Deadline, left)
	if err != nil {
		return nil, 0, false, err
	}
	b = &model.Beat{Service: p.ID.Service, Name: p.ID.Name, Incarnation: p.ID.Inc}
	if n := resp.Header.Get(names.Identity); n != "" {
		b.Name = n
	}
	switch {
	case resp.StatusCode == 200:
		b.State = model.Ready
	case resp.Header.Get(names.NotRun) != "" || resp.StatusCode == 429:
		// alive, and too busy to say more
	default:
		return nil, 0, again, nil
	}
	if ms, err := strconv.ParseFloat(resp.Header.Get(names.Cold), 64); err == nil && ms > 0 && ms <= limit.TimeoutMaxMs {
		cold = time.Duration(ms * float64(time.Millisecond))
	}
	if l := forward.ReadLoad(resp.Header.Get(names.Load)); l != nil && l.Slots > 0 {
		d := float64(l.Running+l.Waiting) / float64(l.Slots)
		b.Demand = &d
	}
	return b, cold, again, nil
}

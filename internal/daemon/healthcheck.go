// This file is the probes: targets are asked on connections that stay open from one probe
// to the next, either for their health or, where a service has no path for that, for their
// identity. What an answer means for a target is decided by the owners.

package daemon

import (
	"context"
	"myrtlefold/internal/shared/statemachine"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// probed is one target's connection while no probe uses it.
type probed struct {
	conn atomic.Pointer[reverseproxy.Conn]
	at   time.Duration // of the last probe
	gone atomic.Bool   // no more probes go there
}

// put keeps a connection for the next probe, in place of the one kept before.
func (s *probed) put(p *reverseproxy.Conn) {
	if old := s.conn.Swap(p); old != nil {
		old.Close()
	}
	if s.gone.Load() {
		if p = s.conn.Swap(nil); p != nil {
			p.Close()
		}
	}
}

// CheckHealth probes a target and tells the owner the outcome, a core.Probed; called on the owner's
// goroutine, which it does not keep waiting.
func (h *Process) CheckHealth(p statemachine.Probe) {
	sent := h.Now()
	if h.probes == nil {
		h.probes = map[wire.TargetID]*probed{}
		if h.Headers == (reverseproxy.Headers{}) {
			h.Headers = reverseproxy.DefaultHeaders()
		}
	}
	h.closeIdleProbes(sent)
	s := h.probes[p.ID]
	if s == nil {
		s = &probed{}
		h.probes[p.ID] = s
	}
	s.at = sent
	go func() {
		out := statemachine.ProbeResult{ID: p.ID, SentAt: sent}
		out.Report, out.WarmupLeft = ask(s, p, &h.Headers, h)
		out.Milliseconds = float64(h.Now()-sent) / 1e6
		h.Loop.Post(out)
	}()
}

// closeIdleProbes closes, now and then, the connections to targets that are probed no more.
func (h *Process) closeIdleProbes(now time.Duration) {
	if now-h.probesAt <= tuning.ProbeConnIdle/4 {
		return
	}
	h.probesAt = now
	for id, s := range h.probes {
		if now-s.at > tuning.ProbeConnIdle {
			delete(h.probes, id)
			s.gone.Store(true)
			s.put(nil)
		}
	}
}

// ask probes a target on the kept connection, and once more on a new one if that fails.
func ask(s *probed, p statemachine.Probe, names *reverseproxy.Headers, h *Process) (*config.TargetReport, time.Duration) {
	deadline := time.Now().Add(tuning.ProbeTimeout)
	conn := s.conn.Swap(nil)
	for conn != nil && conn.Addr() != p.Addr {
		conn.Close()
		conn = nil
	}
	for {
		kept := conn != nil
		if !kept {
			ctx, cancel := context.WithDeadline(context.Background(), deadline)
			var err error
			conn, err = reverseproxy.Dial(ctx, p.Addr, h.LocalAddr())
			cancel()
			if err != nil {
				return nil, 0
			}
		}
		b, cold, again, err := look(conn, p, names, deadline)
		if err == nil && again {
			s.put(conn)
		} else {
			conn.Close()
		}
		if err == nil || !kept || time.Now().After(deadline) {
			return b, cold
		}
		conn = nil // the kept one was closed meanwhile; a new one tells more
	}
}

// look asks on a connection and reads what the answer says of the target.
func look(conn *reverseproxy.Conn, p statemachine.Probe, names *reverseproxy.Headers, deadline time.Time) (b *config.TargetReport, cold time.Duration, again bool, err error) {
	if p.Path == "" {
		b, again, err = conn.Identify(deadline, p.Addr)
		if err != nil {
			b = nil
		}
		return b, 0, again, err
	}
	left := strconv.FormatInt(max(1, (time.Until(deadline)-tuning.NetHop).Milliseconds()), 10)
	resp, _, again, err := conn.Get(deadline, p.Addr, p.Path, names.Deadline, left)
	if err != nil {
		return nil, 0, false, err
	}
	b = &config.TargetReport{Service: p.ID.Service, Name: p.ID.Name, Incarnation: p.ID.Incarnation}
	if n := resp.Header.Get(names.Identity); n != "" {
		b.Name = n
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		b.State = wire.TargetReady
	case resp.Header.Get(names.NotRun) != "" || resp.StatusCode == http.StatusTooManyRequests:
		// alive, and too busy to say more
	default:
		return nil, 0, again, nil
	}
	if ms, err := strconv.ParseFloat(resp.Header.Get(names.WarmupLeft), 64); err == nil && ms > 0 && ms <= tuning.TimeoutMaxMs {
		cold = time.Duration(ms * float64(time.Millisecond))
	}
	if l := reverseproxy.ParseLoad(resp.Header.Get(names.Load)); l != nil && l.Slots > 0 {
		d := float64(l.Running+l.Waiting) / float64(l.Slots)
		b.Demand = &d
	}
	return b, cold, again, nil
}

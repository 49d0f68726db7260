// This file has a process's link carry only so many bytes a second, also where the plan's
// links take no time, and storms of large changes.

package simulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// thinLink is the way into one process.
type thinLink struct {
	rate float64       // bytes a second
	free time.Duration // when all that is on it has passed
}

// LimitLink has what is sent to a process pass at so many bytes a second; 0: at once again.
func (w *World) LimitLink(p *Process, rate float64) {
	w.log("link into %s: %.0f bytes a second", p.name, rate)
	if delete(w.thin, p.name); rate > 0 {
		w.thin[p.name] = &thinLink{rate: rate}
	}
}

// pass is how long a message waits and takes; one that would wait for too long is dropped,
// as a shell does.
func (l *thinLink) pass(now time.Duration, bytes int) (d time.Duration, ok bool) {
	free := max(l.free, now)
	if free-now > tuning.SendQueueTTL {
		return 0, false
	}
	l.free = free + time.Duration(float64(bytes)/l.rate*float64(time.Second))
	return l.free - now, true
}

// largeDoc is a configuration with so many services beside those of the plan.
func (w *World) largeDoc(n, services int) []byte {
	var doc map[string]any
	if err := json.Unmarshal(w.Document(n), &doc); err != nil {
		panic(err)
	}
	all := doc["services"].(map[string]any)
	for i := range services {
		all[fmt.Sprintf("service-%d-%x", i, w.rnd.Uint32())] = map[string]any{"cap": 1 + w.rnd.IntN(90), "warm_cap": 1, "timeout_ms": 100 + w.rnd.IntN(5000), "body_max": 1 + w.rnd.IntN(1<<20)}
	}
	b, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return b
}

// StartChangeStorm has operators put a large configuration ten times a second for a while.
func (w *World) StartChangeStorm(d time.Duration, services int) {
	w.log("storm of changes for %v", d)
	for at := time.Duration(0); at < d; at += 100 * time.Millisecond {
		w.at(at, func() {
			if l := w.Leader(); l != nil {
				base := w.Revision()
				w.SendChange(l, "PUT", "/v1/config", fmt.Sprintf("base=%d", base), w.largeDoc(w.rnd.IntN(1000), services), &change{what: "config", base: base})
			}
		})
	}
}

// isMember says that the leader counts a process, with the disk that it has now, as a member.
func (w *World) isMember(p *Process) bool {
	l := w.Leader()
	if l == nil {
		return false
	}
	for _, m := range l.core.Status(l.local()).Members {
		if m.Name == p.name {
			return m.Disk == p.disk.img.Disk
		}
	}
	return false
}

// followers are the living core processes that do not lead.
func (w *World) followers() (l []*Process) {
	for _, n := range slices.Sorted(maps.Keys(w.procs)) {
		if p := w.procs[n]; p.core != nil && p.alive && p != w.Leader() {
			l = append(l, p)
		}
	}
	return l
}

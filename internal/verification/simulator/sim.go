// Package simulator runs the real owners of a whole fleet in virtual time: a seeded
// network with delay, loss and cuts, disks that stall, tear and vanish, clocks
// that start anywhere and run at unlike speed, processes that crash, freeze and
// come back, back ends, callers and operators. The rules of what must never
// happen are checked at every step they concern. One seed is one run: the same
// seed gives the same trace, step by step.
package simulator

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/wire"
	"myrtlefold/internal/verification/linearizability"
)

// Plan is the fleet's size.
type Plan struct {
	ControlDaemons, Proxies int
	Domains                 int
	Seeds                   int               // core daemons that found the first core, of which the others learn; 0: all, by number
	Services                map[string]int    // targets each
	Rate                    float64           // requests a second
	NonIdempotent           float64           // part of them that must not run twice
	Resubmitted             float64           // part of refusals that are sent again at once
	Slots                   int               // requests at once that targets tell, and routes in rules' place; 0: neither
	ConnectionLimit         int               // connections that a target takes from all proxies together, and resets any more, 0: no such bound
	WarmupRate              float64           // requests a second that a cold target bears, 0: no such bound
	KnownDomains            []string          // domains that the core's settings name
	HeartbeatEvery          time.Duration     // how far apart targets' words are, 0: tuning.BeatEvery; each is said again after half a second
	ReportToControlOnly     bool              // targets speak to core daemons only
	Resources               *LimitedResources // nil: processors and links take no time
	CatchUp                 time.Duration     // from a successor's start until the core bears the next loss, 0: not told
	Losses                  int               // core machines that may be lost at once, 0: not told
	PersistentConnections   int               // connections that callers keep and use on until they are closed; 0: callers go to a ready proxy each time
	Grace                   time.Duration     // how long after the polite signal a proxy is ended by force, as its settings tell; 0: not told
	Digest                  bool              // sum up events, commands and messages, see World.Digest
}

// Small is a fleet that shows all behaviour and still runs fast.
var Small = Plan{ControlDaemons: 3, Proxies: 5, Domains: 3, Services: map[string]int{"fares": 5, "pay": 4}, Rate: 60, NonIdempotent: 0.4, Resubmitted: 0.5}

// GCPercent is how far the heap of a program that runs worlds may grow between two
// collections: each world holds a few MiB and makes much that is over at once.
const GCPercent = 400

// foundingTime is for how long after the beginning a process is told that the fleet starts for the first time.
const foundingTime = 1050 * time.Millisecond

type event struct {
	at  time.Duration
	seq uint64
	fn  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

// World is one run.
type World struct {
	Plan             Plan
	Seed             uint64
	rnd              *rand.Rand
	now              time.Duration
	seq              uint64
	q                events
	procs            map[string]*Process
	byAddr           map[string]*Process
	names            []string
	seeds            []string // whom a process that starts is told of
	targets          []*Target
	listen           map[string]*Target
	thin             map[string]*thinLink
	cut              map[[2]string]bool
	loss             float64
	delay            time.Duration
	nextEx           uint64
	kept             []*keptConnection
	onKept           *keptConnection // that of the request that begins now, nil: one of its own
	open             map[uint64]*request
	link             map[[2]string]time.Duration
	resets           map[[2]string]linkReset
	nextInc          uint64
	asks             map[uint64]*ask
	nextAsk          uint64
	changes          []*change
	history          linearizability.Log
	bulkOrders       int           // operators' orders in bulk so far
	answersLostUntil time.Duration // until when most answers to operators' changes are lost
	acked            uint64
	ackedAt          map[uint64]time.Duration
	emptied          map[string]time.Duration
	sends            map[string][]tick
	trace            []string
	Failure          string
	Stats            Stats
	quiet            bool // no more callers
	okAt             []time.Duration
	hashed           uint64
	late             float64 // part of messages that come seconds late and out of order
	lostLead         time.Duration
	removing         bool          // one service at a time is taken away
	swapping         bool          // one member at a time is swapped
	replaced         int           // core machines that were replaced for good
	replacing        int           // of these, whose successor has not started, or who has not stopped
	coreCutUntil     time.Duration // until when core machines are cut off from each other
	planned          bool          // only planned work is done: nothing may be lost
	sabotage         string
	lastOk           map[string]time.Duration
	digest           *digest // nil: the plan asks for none
}

// Stats are what a run saw, for reports.
type Stats struct {
	Requests, Served, Rejected, Unknown, Retries                       int
	Changes, AcceptedChanges, RejectedChanges, UnknownChanges          int
	LatestToDraining, LatestToCrashed, SlowestChange                   time.Duration
	ChangeLatencies                                                    []time.Duration
	Steps                                                              int
	MostWhileWarming                                                   int
	WarmupArrivals, TargetRejections                                   int // arrivals at cold targets, and at full ones
	PeerServing                                                        int
	RecoveryTime                                                       time.Duration // from healing to full capacity
	LostResponses, LostNonIdempotent, WrongIdentities, Abandoned       int           // answers lost, connections to another identity, callers whose proxy died
	Drains, TargetCrashes, EmptiedDomains, LateMessages, GracefulStops int
	DelayedSteps                                                       int           // steps whose commands were carried out after a pause
	SurplusResponses, MismatchedResponses                              int           // surplus answers that came on idle connections, and in place of an answer
	ResetAttempts, Canceled, RejectedWrites                            int           // answers lost with their connections, callers that left, writes that a full disk refused
	LostReplies                                                        int           // answers to operators' changes that were lost, each sent again
	OverConnectionLimit                                                int           // connections that a target reset since it had too many
	MostConnections                                                    int           // of one target at once, counted as one more is opened
	OpenedConnections                                                  int           // connections to targets for requests
	ProxyHealthChecks                                                  int           // probes of targets by proxies
	ReplacedMachines                                                   int           // core machines gone for good, with a successor
	LongestGap                                                         time.Duration // longest time without a served request of some service
}

// New returns a world whose machines have just been switched on.
func New(seed uint64, p Plan) *World {
	w := &World{Plan: p, Seed: seed, rnd: rand.New(rand.NewPCG(seed, 0x6d79727465)), procs: map[string]*Process{}, byAddr: map[string]*Process{},
		listen: map[string]*Target{}, cut: map[[2]string]bool{}, thin: map[string]*thinLink{}, open: map[uint64]*request{}, link: map[[2]string]time.Duration{}, resets: map[[2]string]linkReset{},
		asks: map[uint64]*ask{}, ackedAt: map[uint64]time.Duration{}, emptied: map[string]time.Duration{}, sends: map[string][]tick{}, delay: time.Millisecond, lastOk: map[string]time.Duration{}}
	if p.Digest {
		w.digest = newDigest()
	}
	for i := range p.ControlDaemons {
		w.addProc(wire.ControlDaemon, fmt.Sprintf("c%d", i+1), i%p.Domains)
	}
	for i := range p.Proxies {
		w.addProc(wire.ProxyDaemon, fmt.Sprintf("g%d", i+1), i%p.Domains)
	}
	w.seeds = w.names[:min(3, len(w.names))]
	if p.Seeds > 0 {
		w.seeds = w.names[:p.Seeds]
	}
	for _, n := range w.names {
		if q := w.procs[n]; p.Seeds == 0 {
			w.start(q)
		} else {
			w.at(w.ms(0, 1000), func() { w.start(q) })
		}
	}
	k := 0
	for _, s := range slices.Sorted(maps.Keys(p.Services)) {
		for i := range p.Services[s] {
			w.AddTarget(s, fmt.Sprintf("%s%d", s, i+1), fmt.Sprintf("d%d", k%p.Domains+1), fmt.Sprintf("10.1.0.%d:80", k+1), 0)
			k++
		}
	}
	return w
}

func (w *World) at(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.q, event{w.now + d, w.seq, fn})
}

func (w *World) log(f string, a ...any) {
	l := fmt.Sprintf("%9.3f ", w.now.Seconds()) + fmt.Sprintf(f, a...)
	w.trace = append(w.trace, l)
	for _, b := range []byte(l) {
		w.hashed = w.hashed*1099511628211 + uint64(b)
	}
}

// Hash sums up the whole trace.
func (w *World) Hash() uint64 { return w.hashed + uint64(w.Stats.Steps) }

// Trace gives the last lines.
func (w *World) Trace(n int) string {
	return strings.Join(w.trace[max(0, len(w.trace)-n):], "\n")
}

func (w *World) broken(rule, f string, a ...any) {
	if w.Failure == "" {
		w.Failure = rule + ": " + fmt.Sprintf(f, a...)
		w.log("RULE BROKEN %s", w.Failure)
	}
}

// Run moves virtual time on until d, or until a rule is broken.
func (w *World) Run(until time.Duration) bool {
	for len(w.q) > 0 && w.q[0].at <= until && w.Failure == "" {
		e := heap.Pop(&w.q).(event)
		w.now = e.at
		w.Stats.Steps++
		e.fn()
	}
	if w.Failure == "" {
		w.now = until
	}
	return w.Failure == ""
}

func (w *World) ms(lo, hi int) time.Duration {
	return time.Duration(lo)*time.Millisecond + time.Duration(w.rnd.Int64N(int64(hi-lo)*int64(time.Millisecond)+1))
}

func (w *World) reach(a, b string) bool { return !w.cut[[2]string{a, b}] }

// Slots is how many requests named targets say that they work on at once where the plan does not.
const DefaultSlots = 16

// coldSpan is how long a target is cold after a start during traffic, queued how many
// requests wait at one that is full.
const (
	coldSpan = 3 * time.Second
	queued   = 2
	// coldHeard is how long after a target's word was acknowledged its cold rate must hold
	// everywhere: the bound for whatever is said of a target.
	coldHeard = 2 * time.Second
)

// warmCap is what a warming target bears in all of them.
const warmCap = 6

// AwaitServing waits until the fleet decides, knows its targets and serves.
func (w *World) AwaitServing(within time.Duration) bool {
	end := w.now + within
	for w.now < end {
		if !w.Run(w.now + 100*time.Millisecond) {
			return false
		}
		if w.Serving() {
			return true
		}
	}
	return false
}

// Serves says whether every living proxy serves every service on one table.
func (w *World) Serving() bool {
	l := w.Leader()
	if l == nil || l.core.Table() == nil || len(l.core.Table().Proxies) == 0 || l.core.Revision() == 0 {
		return false
	}
	for _, n := range w.names {
		if p := w.procs[n]; p.gate != nil && p.alive && (p.gate.State() != dataplane.Leased || p.gate.Table().Key.Term != l.core.Table().Key.Term) {
			return false
		}
	}
	for s := range w.Plan.Services {
		if !slices.ContainsFunc(l.core.Table().Targets, func(t wire.Target) bool { return t.Service == s && !t.Draining && t.EjectionLeft == 0 && !t.Pending }) {
			return false
		}
	}
	return true
}

var stopEvent = statemachine.Stop{}

// Plans are the fleets by name: the brief's two deployments and the small one.
var Plans = map[string]Plan{
	"small":   Small,
	"kelani":  {ControlDaemons: 3, Proxies: 12, Domains: 3, Services: map[string]int{"records": 30, "monitoring": 6}, Rate: 210, NonIdempotent: 0.3, Resubmitted: 0.8},
	"kiyihat": {ControlDaemons: 5, Proxies: 8, Domains: 4, Services: map[string]int{"fares": 14, "payments": 9, "documents": 8}, Rate: 630, NonIdempotent: 0.2, Resubmitted: 0.3},
}

package main

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"

	"myrtlefold/internal/daemon"
	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/wire"
)

// No two of a fleet's parts share an address, all are on loopback, and two fleets on
// numbers two apart share none.
func TestHollowAddresses(t *testing.T) {
	seen := map[string]bool{}
	for _, net := range []int{40, 42} {
		for _, b := range []struct{ block, n int }{{coreBlock, 16}, {controlBlock, 100}, {gateBlock, 1000}, {targetBlock, 4000}} {
			for i := range b.n {
				a := hollowIP(net, b.block, i)
				if ip, err := netip.ParseAddr(a); err != nil || !ip.IsLoopback() || seen[a] {
					t.Fatalf("block %d, %d: %s %v, seen %v", b.block, i, a, err, seen[a])
				}
				seen[a] = true
			}
		}
	}
	for i := range 20 {
		if s := gateSettings(40, i, []string{hollowIP(40, coreBlock, 0) + ":7001"}); len(s.Check("gate")) > 0 {
			t.Fatal(s, s.Check("gate"))
		}
	}
}

// Configurations are sound at any size, have so many routes, and each target's service is in them.
func TestHollowConfig(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		targets, routes := 1+rnd.IntN(1200), 1+rnd.IntN(2500)
		cfg, faults, err := outlier.CheckConfig(hollowConfig(targets, routes))
		if err != nil || len(faults) > 0 || len(cfg.Routes) != routes {
			t.Fatalf("%d targets, %d routes: %v %v, %d routes", targets, routes, err, faults, len(cfg.Routes))
		}
		for i := range targets {
			s, _ := hollowTarget(i, targets)
			if _, ok := cfg.Services[s]; !ok {
				t.Fatalf("%d targets: no service %s", targets, s)
			}
		}
	}
}

func TestHollowSizes(t *testing.T) {
	f := hollowFlags{gates: "12, 24", targets: "36", routes: "10", changes: "0", real: 1, rounds: 3}
	l, along, err := f.sizes()
	if err != nil || len(l) != 2 || l[1].Gates != 24 || along(l[1]) != 24 {
		t.Fatal(l, err)
	}
	f.gates, f.changes = "12", "0.5,2"
	if l, along, err = f.sizes(); err != nil || len(l) != 2 || along(l[1]) != 2 {
		t.Fatal(l, err)
	}
	for _, bad := range []string{"", "x", "0", "-3", "5000"} {
		f.gates = bad
		if _, _, err := f.sizes(); err == nil {
			t.Fatalf("%q was taken", bad)
		}
	}
	f.gates, f.targets = "12", "6" // too few for each to leave or fall silent once
	if _, _, err := f.sizes(); err == nil {
		t.Fatal("too few targets were taken")
	}
}

// The line finds slope and beginning out of noise, and says how much it leaves unexplained.
func TestHollowLine(t *testing.T) {
	rnd := rand.New(rand.NewPCG(2, 2))
	for range 50 {
		a, b := rnd.Float64()*10, rnd.Float64()*10-5
		var x, y []float64
		for i := range 8 {
			x = append(x, float64(i*i+1))
			y = append(y, a+b*x[i]+rnd.NormFloat64()*0.01)
		}
		at0, slope, rest := line(x, y)
		if math.Abs(at0-a) > 0.05 || math.Abs(slope-b) > 0.005 || rest > 0.01 && math.Abs(b) > 0.05 {
			t.Fatalf("%g + %g x: %g, %g, %g", a, b, at0, slope, rest)
		}
	}
	if _, _, rest := line([]float64{1, 2, 3, 4}, []float64{1, -1, 1, -1}); rest < 0.5 {
		t.Fatal("no line explains a zigzag", rest)
	}
	if at0, slope, rest := line([]float64{5, 5}, []float64{1, 3}); at0 != 2 || slope != 0 || rest != 0 {
		t.Fatal(at0, slope, rest)
	}
	if m, lo, hi := median([]float64{3, 1, 2}); m != 2 || lo != 1 || hi != 3 {
		t.Fatal(m, lo, hi)
	}
}

func TestHollowReads(t *testing.T) {
	if v := procTime("17 (a) b (c) S 1 17 17 0 -1 4194304 100 0 0 0 250 50 0 0 20 0 9 0 1 2 3"); v != 3 {
		t.Fatal(v)
	}
	if v := procTime("17 (x) S 1"); v != 0 {
		t.Fatal(v)
	}
	if v := procMemory("Name:\tx\nVmHWM:\t   4096 kB\nVmRSS:\t    2048 kB\n"); v != 2 {
		t.Fatal(v)
	}
	a := wireCounts("# HELP x\nmf_wire_bytes_total{direction=\"sent\",kind=\"push\"} 1.5e+03\nmf_wire_messages_total{direction=\"received\",kind=\"hello\"} 4\nmf_core_bars_total 3\n")
	if len(a) != 2 || a["bytes sent push"] != 1500 || a["messages received hello"] != 4 {
		t.Fatal(a)
	}
	b := flowCounts([]daemon.Flow{{Sent: true, Kind: "push", Msgs: 1, Bytes: 1500}, {Sent: true, Kind: "push", Msgs: 2, Bytes: 500}, {Kind: "hello", Msgs: 6, Bytes: 9}})
	if b["bytes sent push"] != 2000 || b["messages received hello"] != 6 || rate(a, b, "bytes sent", 2) != 250 || rate(a, b, "messages ", 1) != 5 {
		t.Fatal(b, rate(a, b, "bytes sent", 2), rate(a, b, "messages ", 1))
	}
}

// A gate counts a target as out if its table has it not, or held, ejected or pending.
func TestHollowReport(t *testing.T) {
	tab := &wire.Table{Targets: []wire.Target{{Service: "s", Name: "a"}, {Service: "s", Name: "b", Held: true}, {Service: "s", Name: "c", BarLeft: 1}, {Service: "s", Name: "d", Pending: true}, {Service: "r", Name: "c"}}}
	for name, out := range map[string]int{"a": 0, "b": 1, "c": 1, "d": 1, "e": 1} {
		var r hollowReport
		r.look(&standing{dataplane.Granted, 3, tab}, 3, "s", name)
		if r.Out != out || r.Usable != 2 || r.Granted != 1 || r.At != 1 {
			t.Fatalf("%s: %+v", name, r)
		}
	}
	var r, sum hollowReport
	r.look(&standing{dataplane.Isolated, 2, nil}, 3, "s", "a")
	r.look(&standing{dataplane.PeerServing, 4, tab}, 3, "s", "a")
	if r.Gates != 2 || r.Usable != 0 || r.At != 1 || r.Out != 1 || r.Cut != 1 || r.Orphan != 1 {
		t.Fatalf("%+v", r)
	}
	sum.add(hollowReport{Gates: 3, Usable: 7, Granted: 3})
	sum.add(r)
	sum.add(hollowReport{Words: 4})
	if sum.Gates != 5 || sum.Usable != 0 || sum.Granted != 3 || sum.Words != 4 {
		t.Fatalf("%+v", sum)
	}
}

// The table has each figure's median and span, and says so where a size has none.
func TestHollowTable(t *testing.T) {
	f := hollowFlags{gates: "1,2", targets: "9", routes: "1", changes: "0", real: 1, rounds: 1}
	sizes, along, err := f.sizes()
	if err != nil {
		t.Fatal(err)
	}
	got := []map[string][]float64{{"x": {1, 9, 2}, "z": {-1, 3, -1}}, {"x": {4, 4, 4}, "y": {7}}}
	s := hollowTable(sizes, along, []string{"x", "y", "z"}, got, &f)
	for _, want := range []string{"| x | 2 (1 to 9) | 4 (4 to 4) | 0, 2, 0.00 |", "| y | - | 7 (7 to 7) | - |", "| z | late (3 to late) | - | - |"} {
		if !strings.Contains(s, want) {
			t.Fatalf("%q is not in\n%s", want, s)
		}
	}
}

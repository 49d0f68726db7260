package outlier

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// recording returns 90 s of events of four targets that serve requests and are health-checked. The first target
// has the given fault in the middle third.
func recording(fault string) []Event {
	var l []Event
	for at := time.Second; at < 90*time.Second; at += 500 * time.Millisecond {
		for i, n := range []string{"a", "b", "c", "d"} {
			faulty := i == 0 && at > 30*time.Second && at < 60*time.Second
			e := Event{At: at, Service: "s", Name: n, Incarnation: 1}
			probe, request, heartbeat, demand := e, e, e, e
			probe.Signal, probe.Success, probe.Milliseconds = "probe", true, 2
			request.Signal, request.Count, request.Milliseconds = "exchange", 10, 200
			heartbeat.Signal, heartbeat.Success, heartbeat.State = "beat", true, wire.TargetReady
			demand.Signal, demand.Demand = "demand", 0.3
			sendsHeartbeats := true
			if faulty {
				switch fault {
				case "crash":
					probe.Success, request.Errors, sendsHeartbeats = false, 10, false
				case "failing":
					request.Errors = 8
				case "slow":
					request.Slow, request.Milliseconds = 9, 9000
				case "pressed":
					demand.Demand, request.Slow, request.Milliseconds = 0.97, 6, 4000
				case "flapping":
					probe.Success = at/(time.Second)%2 == 0
					if !probe.Success {
						request.Errors = 9
					}
				case "halting":
					sendsHeartbeats = at/(2*time.Second)%2 == 0
					if !sendsHeartbeats {
						request.Errors = 5
					}
				}
			}
			l = append(l, probe)
			if sendsHeartbeats {
				l = append(l, heartbeat, demand)
			} else {
				heartbeat.Success, heartbeat.Milliseconds = false, 1600
				l = append(l, heartbeat)
			}
			l = append(l, request)
		}
	}
	return l
}

// Each sample policy misses less than 80 % of what the default policy misses on the fault it is named after, without
// wrong ejections, and makes no decision on a recording without faults.
func TestShippedPoliciesBeatTheDefault(t *testing.T) {
	files, _ := filepath.Glob("../../../sample/policies/*.json")
	if len(files) < 4 {
		t.Fatalf("sample policies %v, want at least 4", files)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".json")
		b, err := os.ReadFile(f)
		p := config.Policy{Mode: "live"}
		faults, derr := config.Decode(b, &p)
		if err != nil || derr != nil || len(append(faults, Check(p)...)) > 0 {
			t.Fatalf("%s is not a valid policy: errors %v and %v, faults %v", f, err, derr, append(faults, Check(p)...))
		}
		ps := map[string]config.Policy{"default": config.DefaultPolicy(), name: p}
		for _, s := range Compare(recording("none"), ps) {
			if s.Ejections+s.WrongEjections+s.Transitions > 0 {
				t.Errorf("decisions on a recording without faults: %+v", s)
			}
		}
		l := Compare(recording(name), ps)
		def, own := l[0], l[1]
		if def.Policy != "default" {
			def, own = own, def
		}
		t.Logf("%+v\n%+v", def, own)
		if own.Ejections == 0 || own.WrongEjections > 0 || own.MissedErrors+own.MissedSlow >= (def.MissedErrors+def.MissedSlow)*8/10 {
			t.Errorf("policy %s has score %+v, the default policy %+v; want ejections, no wrong ones, and less than 80 %% of the default policy's missed errors and slow requests", name, own, def)
		}
	}
	if s := Compare(recording("crash"), map[string]config.Policy{"default": config.DefaultPolicy()})[0]; s.Ejections != 1 || s.TimeToEjectMs != 500 || s.WrongEjections != 0 {
		t.Errorf("default policy on a crash: %+v, want one ejection after 500 ms, not a wrong one", s)
	}
}

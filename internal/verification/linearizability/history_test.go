package linearizability

import (
	"strconv"
	"testing"
	"time"
)

const ms = time.Millisecond

func change(base uint64, key string) Change { return Change{Base: base, Key: key, Value: key} }

// Check accepts exactly the histories that a compare-and-set register can produce.
func TestCheckAcceptsOnlyLinearizableHistories(t *testing.T) {
	for _, c := range []struct {
		name         string
		linearizable bool
		calls        func(h *History)
	}{
		{"a write, then its value", true, func(h *History) {
			h.Write(0, change(0, "a")).Acknowledge(10*ms, 1)
			h.Read(11*ms).Return(12*ms, 1, "a")
		}},
		{"an old value read after the acknowledgement", false, func(h *History) {
			h.Write(0, change(0, "a")).Acknowledge(10*ms, 1)
			h.Read(11*ms).Return(12*ms, 0, "")
		}},
		{"an old value read during the write, with a late reply", true, func(h *History) {
			h.Write(0, change(0, "a")).Acknowledge(10*ms, 1)
			h.Read(5*ms).Return(500*ms, 0, "")
		}},
		{"another value under the same revision", false, func(h *History) {
			h.Write(0, change(0, "a")).Acknowledge(10*ms, 1)
			h.Read(11*ms).Return(12*ms, 1, "b")
		}},
		{"two changes acknowledged on one base", false, func(h *History) {
			h.Write(0, change(0, "a")).Acknowledge(10*ms, 1)
			h.Write(0, change(0, "b")).Acknowledge(10*ms, 1)
		}},
		{"one of two changes on one base acknowledged", true, func(h *History) {
			h.Write(0, change(0, "a")).Acknowledge(10*ms, 1)
			h.Write(0, change(0, "b")).Reject(10*ms, 1)
		}},
		{"the value of a rejected change is read", false, func(h *History) {
			h.Write(0, change(0, "b")).Reject(10*ms, 1)
			h.Write(0, change(0, "a")).Acknowledge(10*ms, 1)
			h.Read(11*ms).Return(12*ms, 1, "b")
		}},
		{"sent again after another change was based on it", true, func(h *History) {
			h.Write(0, change(0, "a"))
			h.Write(5*ms, change(1, "b")).Acknowledge(10*ms, 2)
			h.Write(20*ms, change(0, "a")).Acknowledge(25*ms, 1)
			h.Read(30*ms).Return(31*ms, 2, "b")
		}},
		{"sent again and rejected after its acknowledgement", false, func(h *History) {
			h.Write(0, change(0, "a")).Acknowledge(10*ms, 1)
			h.Write(20*ms, change(0, "a")).Reject(25*ms, 1)
		}},
		{"sent again with its token", true, func(h *History) {
			h.Write(0, Change{Base: 0, Key: "a", Token: "x"}).Acknowledge(10*ms, 1)
			h.Write(20*ms, Change{Base: 1, Key: "b", Token: "x"}).Acknowledge(25*ms, 1)
		}},
		{"an open change takes effect late", true, func(h *History) {
			h.Write(0, change(0, "a"))
			h.Read(10*ms).Return(11*ms, 0, "")
			h.Read(20*ms).Return(21*ms, 1, "a")
		}},
		{"an open change is undone after it took effect", false, func(h *History) {
			h.Write(0, change(0, "a"))
			h.Read(20*ms).Return(21*ms, 1, "a")
			h.Read(30*ms).Return(31*ms, 0, "")
		}},
		{"the value of a change without effect is read", false, func(h *History) {
			h.Write(0, change(0, "a")).NoEffect(10 * ms)
			h.Read(20*ms).Return(21*ms, 1, "a")
		}},
		{"a revision number chosen by the operator", true, func(h *History) {
			h.Write(0, Change{Base: 0, Revision: 40, Key: "a"}).Acknowledge(10*ms, 40)
			h.Write(20*ms, Change{Base: 40, Revision: 39, Key: "b"})
			h.Read(20*ms).Return(21*ms, 40, "")
		}},
		{"an unacknowledged change is lost with a majority of the disks", true, func(h *History) {
			h.Write(0, change(0, "a")).Acknowledge(10*ms, 1)
			h.Write(11*ms, change(1, "b"))
			h.Read(20*ms).Return(21*ms, 2, "b")
			h.ForgetUnacknowledged(1)
			h.Read(30*ms).Return(31*ms, 1, "a")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h History
			c.calls(&h)
			if err := h.Check(); (err == nil) != c.linearizable {
				t.Errorf("linearizable: got %v, want %v; error %v", err == nil, c.linearizable, err)
			}
		})
	}
}

// The check terminates for a history of hundreds of revisions with eight concurrent changes each, most of which remain
// open because their replies were lost, and with changes sent again.
func TestCheckOfManyOpenCallsTerminates(t *testing.T) {
	var h History
	const changes = 400
	for i := range uint64(changes) {
		at := time.Duration(i) * 100 * ms
		for k := range 7 {
			h.Write(at, change(i, "lost"+strconv.Itoa(k)))
		}
		h.Write(at, change(i, "won")).Acknowledge(at+50*ms, i+1)
		h.Write(at+60*ms, change(i, "won"))
		h.Read(at+60*ms).Return(at+70*ms, i+1, "won")
	}
	if err := h.Check(); err != nil {
		t.Errorf("linearizable history was not accepted: %v", err)
	}
}

// The check terminates for many changes that wait for a leader and are all rejected within a few milliseconds, although
// they are not rejected in the order in which they were sent. It still detects a rejected change that was accepted.
func TestCheckOfManyRejectionsTerminates(t *testing.T) {
	for _, wrong := range []bool{false, true} {
		var h History
		h.Write(0, change(0, "first")).Acknowledge(ms, 1)
		h.Write(10*ms, change(1, "won")).Acknowledge(900*ms, 2)
		for i := range 40 {
			o := h.Write(time.Duration(20+i)*ms, change(1, "lost"+strconv.Itoa(i)))
			o.Reject(time.Duration(1000+(i*7)%10)*ms, 2)
		}
		h.Read(30*ms).Return(950*ms, 1, "first")
		for i := range 3 {
			h.Write(time.Duration(40+i)*ms, change(2, "open"+strconv.Itoa(i)))
		}
		if wrong {
			h.Write(1100*ms, change(1, "lost5")).Acknowledge(1200*ms, 2)
		}
		if err := h.Check(); (err != nil) != wrong {
			t.Errorf("error %v for a history in which a rejected change was also accepted: %v; want an error only if it was", err, wrong)
		}
	}
}

package linearizability

import (
	"strconv"
	"testing"
	"time"
)

const ms = time.Millisecond

func order(base uint64, key string) Change { return Change{Base: base, Key: key, Value: key} }

// What a register may answer, and what not.
func TestCheckAcceptsOnlyLinearizableHistories(t *testing.T) {
	for _, c := range []struct {
		name  string
		holds bool
		calls func(l *Log)
	}{
		{"a write, then its value", true, func(l *Log) {
			l.Write(0, order(0, "a")).Acknowledge(10*ms, 1)
			l.Read(11*ms).Return(12*ms, 1, "a")
		}},
		{"an old value after the acknowledgement", false, func(l *Log) {
			l.Write(0, order(0, "a")).Acknowledge(10*ms, 1)
			l.Read(11*ms).Return(12*ms, 0, "")
		}},
		{"an old value during the write, told late", true, func(l *Log) {
			l.Write(0, order(0, "a")).Acknowledge(10*ms, 1)
			l.Read(5*ms).Return(500*ms, 0, "")
		}},
		{"another value under the number", false, func(l *Log) {
			l.Write(0, order(0, "a")).Acknowledge(10*ms, 1)
			l.Read(11*ms).Return(12*ms, 1, "b")
		}},
		{"two are acknowledged on one base", false, func(l *Log) {
			l.Write(0, order(0, "a")).Acknowledge(10*ms, 1)
			l.Write(0, order(0, "b")).Acknowledge(10*ms, 1)
		}},
		{"one of two wins", true, func(l *Log) {
			l.Write(0, order(0, "a")).Acknowledge(10*ms, 1)
			l.Write(0, order(0, "b")).Reject(10*ms, 1)
		}},
		{"the loser is read", false, func(l *Log) {
			l.Write(0, order(0, "b")).Reject(10*ms, 1)
			l.Write(0, order(0, "a")).Acknowledge(10*ms, 1)
			l.Read(11*ms).Return(12*ms, 1, "b")
		}},
		{"sent again, with another on top", true, func(l *Log) {
			l.Write(0, order(0, "a"))
			l.Write(5*ms, order(1, "b")).Acknowledge(10*ms, 2)
			l.Write(20*ms, order(0, "a")).Acknowledge(25*ms, 1)
			l.Read(30*ms).Return(31*ms, 2, "b")
		}},
		{"sent again and refused", false, func(l *Log) {
			l.Write(0, order(0, "a")).Acknowledge(10*ms, 1)
			l.Write(20*ms, order(0, "a")).Reject(25*ms, 1)
		}},
		{"sent again under its id", true, func(l *Log) {
			l.Write(0, Change{Base: 0, Key: "a", Token: "x"}).Acknowledge(10*ms, 1)
			l.Write(20*ms, Change{Base: 1, Key: "b", Token: "x"}).Acknowledge(25*ms, 1)
		}},
		{"an unclear one takes effect late", true, func(l *Log) {
			l.Write(0, order(0, "a"))
			l.Read(10*ms).Return(11*ms, 0, "")
			l.Read(20*ms).Return(21*ms, 1, "a")
		}},
		{"and not twice", false, func(l *Log) {
			l.Write(0, order(0, "a"))
			l.Read(20*ms).Return(21*ms, 1, "a")
			l.Read(30*ms).Return(31*ms, 0, "")
		}},
		{"what changed nothing is read", false, func(l *Log) {
			l.Write(0, order(0, "a")).Void(10 * ms)
			l.Read(20*ms).Return(21*ms, 1, "a")
		}},
		{"the operator's own number", true, func(l *Log) {
			l.Write(0, Change{Base: 0, Revision: 40, Key: "a"}).Acknowledge(10*ms, 40)
			l.Write(20*ms, Change{Base: 40, Revision: 39, Key: "b"})
			l.Read(20*ms).Return(21*ms, 40, "")
		}},
		{"what was not acknowledged may go with a majority's disks", true, func(l *Log) {
			l.Write(0, order(0, "a")).Acknowledge(10*ms, 1)
			l.Write(11*ms, order(1, "b"))
			l.Read(20*ms).Return(21*ms, 2, "b")
			l.ForgetUnacknowledged(1)
			l.Read(30*ms).Return(31*ms, 1, "a")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var l Log
			c.calls(&l)
			if err := l.Check(); (err == nil) != c.holds {
				t.Errorf("linearizable: %v, want %v: %v", err == nil, c.holds, err)
			}
		})
	}
}

// Hundreds of orders, eight at once, most answers lost and sent again: the check ends.
func TestCheckOfManyOpenCallsEnds(t *testing.T) {
	var l Log
	const changes = 400
	for i := range uint64(changes) {
		at := time.Duration(i) * 100 * ms
		for k := range 7 {
			l.Write(at, order(i, "lost"+strconv.Itoa(k)))
		}
		l.Write(at, order(i, "won")).Acknowledge(at+50*ms, i+1)
		l.Write(at+60*ms, order(i, "won"))
		l.Read(at+60*ms).Return(at+70*ms, i+1, "won")
	}
	if err := l.Check(); err != nil {
		t.Error(err)
	}
}

// Orders that wait for a leader together and are all refused within a few milliseconds: the check ends,
// though some of them last longer than those that were sent before them, and it still finds one that was taken.
func TestCheckOfManyRejectionsEnds(t *testing.T) {
	for _, wrong := range []bool{false, true} {
		var l Log
		l.Write(0, order(0, "first")).Acknowledge(ms, 1)
		l.Write(10*ms, order(1, "won")).Acknowledge(900*ms, 2)
		for i := range 40 {
			o := l.Write(time.Duration(20+i)*ms, order(1, "lost"+strconv.Itoa(i)))
			o.Reject(time.Duration(1000+(i*7)%10)*ms, 2)
		}
		l.Read(30*ms).Return(950*ms, 1, "first")
		for i := range 3 {
			l.Write(time.Duration(40+i)*ms, order(2, "open"+strconv.Itoa(i)))
		}
		if wrong {
			l.Write(1100*ms, order(1, "lost5")).Acknowledge(1200*ms, 2)
		}
		if err := l.Check(); (err != nil) != wrong {
			t.Errorf("an order refused and taken: %v; %v", wrong, err)
		}
	}
}

// This file runs an owner: events in, commands out, on one goroutine.

package host

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/core"
	"myrtlefold/limit"
)

type item struct {
	ev    any
	id    uint64
	reply chan any
	look  func(now time.Duration)
}

// Loop feeds one owner from one goroutine.
type Loop struct {
	in    chan item
	h     *Host
	waits map[uint64]chan any
}

func (l *Loop) Tell(ev any) { l.in <- item{ev: ev} }

// Ask tells the owner ev and waits for the command that answers id; cancel is
// told instead if the context ends first.
func (l *Loop) Ask(ctx context.Context, id uint64, ev, cancel any) any {
	ch := make(chan any, 1)
	l.in <- item{ev: ev, id: id, reply: ch}
	select {
	case v := <-ch:
		return v
	case <-ctx.Done():
		l.in <- item{ev: cancel, id: id}
		return nil
	}
}

// Look runs f on the owner's goroutine and waits for it.
func (l *Loop) Look(f func(now time.Duration)) {
	done := make(chan struct{})
	l.in <- item{look: func(now time.Duration) { f(now); close(done) }}
	<-done
}

// Answer hands an answer to who waits for it.
func (l *Loop) Answer(id uint64, v any) {
	if ch := l.waits[id]; ch != nil {
		delete(l.waits, id)
		ch <- v
	}
}

// Run is the owner's goroutine.
func (l *Loop) Run(step func(time.Duration, any) []any, exec func(cmd any)) {
	tick := time.NewTicker(limit.TickEvery)
	defer tick.Stop()
	do := func(ev any) {
		for _, c := range step(l.h.Now(), ev) {
			exec(c)
		}
	}
	for {
		select {
		case it := <-l.in:
			switch {
			case it.look != nil:
				it.look(l.h.Now())
				continue
			case it.reply != nil:
				l.waits[it.id] = it.reply
			case it.id != 0:
				delete(l.waits, it.id)
			}
			if it.ev != nil {
				do(it.ev)
			}
		case <-tick.C:
			do(core.Tick{})
		}
	}
}

// passes says that a listener's error ends by itself: descriptors come free, or one caller went.
func passes(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

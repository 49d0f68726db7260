// This file is the stream of target events and decisions that a leading core
// daemon serves as JSON lines. A reader resumes by the last line's term and
// number; one that is too slow, or comes too late, is told what it missed.

package daemon

import (
	"encoding/json"
	"fmt"
	"myrtlefold/internal/shared/statemachine"
	"net/http"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

// line is one line of the stream.
type line struct {
	Term uint64 `json:"term"`
	Seq  uint64 `json:"seq"`
	statemachine.Publish
	Missed uint64 `json:"missed,omitempty"`
	Why    string `json:"note,omitempty"`
}

// reader is a client of the stream.
type reader struct {
	lines chan line
	lost  uint64 // lines that it was too slow for and has not been told of
}

// join adds a reader, or removes it.
type join struct {
	r         *reader
	term, seq uint64
	resume    bool
	leave     bool
}

// EventStream passes notes of target events to the readers of the stream, and keeps the last ones for those
// that resume. One goroutine owns both.
type EventStream struct {
	put  chan line
	join chan join
}

// NewEventStream starts the goroutine that owns the stream, which runs as long as the process.
func NewEventStream() *EventStream {
	u := &EventStream{make(chan line, tuning.EventQueue), make(chan join)}
	go u.run()
	return u
}

// Publish adds a note; it never waits for readers.
func (u *EventStream) Publish(term uint64, n statemachine.Publish) {
	u.put <- line{Term: term, Publish: n}
}

// give passes a line to a reader, without waiting for it.
func (r *reader) give(l line) {
	if r.lost > 0 {
		select {
		case r.lines <- line{Term: l.Term, Seq: l.Seq, Missed: r.lost, Why: "the reader was too slow"}:
			r.lost = 0
		default:
		}
	}
	select {
	case r.lines <- l:
	default:
		r.lost++
	}
}

func (u *EventStream) run() {
	var kept []line
	var seq uint64
	readers := map[*reader]bool{}
	for {
		select {
		case l := <-u.put:
			seq++
			l.Seq = seq
			kept = append(kept, l)
			if len(kept) > 2*tuning.EventsKept {
				kept = append([]line(nil), kept[tuning.EventsKept:]...)
			}
			for r := range readers {
				r.give(l)
			}
		case j := <-u.join:
			if j.leave {
				delete(readers, j.r)
				continue
			}
			readers[j.r] = true
			if j.resume {
				j.r.replay(kept, j.term, j.seq)
			}
		}
	}
}

// replay gives a reader the kept lines behind the one that it read last, and tells it if there were
// others between.
func (r *reader) replay(kept []line, term, seq uint64) {
	missing := true
	for _, l := range kept {
		if l.Term < term || l.Term == term && l.Seq <= seq {
			missing = false
			continue
		}
		if missing {
			r.give(line{Term: l.Term, Seq: l.Seq, Missed: max(1, l.Seq-min(l.Seq, seq+1)), Why: "lines before this one are no longer kept here, or stood with another leader"})
			missing = false
		}
		r.give(l)
	}
}

// Serve answers one reader until it goes, if this daemon leads; else it sends the reader to the
// leader's HTTP address.
func (u *EventStream) Serve(w http.ResponseWriter, r *http.Request, leads bool, leader string) {
	if !leads {
		if leader == "" {
			refuse(w, http.StatusServiceUnavailable, tuning.RetryAfterMin, config.ErrorBody{Code: "no_leader", Message: "no leader is known"})
			return
		}
		http.Redirect(w, r, "http://"+leader+r.URL.RequestURI(), http.StatusTemporaryRedirect)
		return
	}
	j := join{r: &reader{lines: make(chan line, 2*tuning.EventsKept+tuning.StreamBuffer)}}
	if f := r.URL.Query().Get("from"); f != "" {
		if _, err := fmt.Sscanf(f, "%d.%d", &j.term, &j.seq); err != nil {
			refuse(w, http.StatusBadRequest, 0, config.ErrorBody{Code: "bad_request", Message: "from is term.seq of the last line read"})
			return
		}
		j.resume = true
	}
	w.Header().Set("Content-Type", "application/jsonl")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	rc.Flush()
	u.join <- j
	defer func() { u.join <- join{r: j.r, leave: true} }()
	enc := json.NewEncoder(w)
	for {
		select {
		case l := <-j.r.lines:
			if enc.Encode(l) != nil || len(j.r.lines) == 0 && rc.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

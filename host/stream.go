// This file is the stream of target events and decisions that a leading core
// daemon serves as JSON lines. A reader resumes by the last line's term and
// number; one that is too slow, or comes too late, is told what it missed.

package host

import (
	"encoding/json"
	"fmt"
	"net/http"

	"myrtlefold/core"
	"myrtlefold/limit"
	"myrtlefold/model"
)

type line struct {
	Term uint64 `json:"term"`
	Seq  uint64 `json:"seq"`
	core.Note
	Missed uint64 `json:"missed,omitempty"`
	Why    string `json:"note,omitempty"`
}

type reader struct {
	ch   chan line
	lost uint64
}

type join struct {
	r         *reader
	term, seq uint64
	resume    bool
	leave     bool
}

// Hub is the stream's one owner.
type Hub struct {
	put  chan line
	join chan join
}

func NewHub() *Hub {
	u := &Hub{make(chan line, limit.EventQueue), make(chan join)}
	go u.run()
	return u
}

// Put adds a note; it never waits for readers.
func (u *Hub) Put(term uint64, n core.Note) { u.put <- line{Term: term, Note: n} }

func (r *reader) give(l line) {
	if r.lost > 0 {
		select {
		case r.ch <- line{Term: l.Term, Seq: l.Seq, Missed: r.lost, Why: "the reader was too slow"}:
			r.lost = 0
		default:
		}
	}
	select {
	case r.ch <- l:
	default:
		r.lost++
	}
}

func (u *Hub) run() {
	var kept []line
	var seq uint64
	readers := map[*reader]bool{}
	for {
		select {
		case l := <-u.put:
			seq++
			l.Seq = seq
			kept = append(kept, l)
			if len(kept) > 2*limit.EventsKept {
				kept = append([]line(nil), kept[limit.EventsKept:]...)
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
			if !j.resume {
				continue
			}
			first := true
			for _, l := range kept {
				if l.Term < j.term || l.Term == j.term && l.Seq <= j.seq {
					first = false
					continue
				}
				if first {
					j.r.give(line{Term: l.Term, Seq: l.Seq, Missed: max(1, l.Seq-min(l.Seq, j.seq+1)), Why: "lines before this one are no longer kept here, or stood with another leader"})
					first = false
				}
				j.r.give(l)
			}
		}
	}
}

// Serve answers one reader until it goes.
func (u *Hub) Serve(w http.ResponseWriter, r *http.Request, leads bool, leader string) {
	if !leads {
		if leader == "" {
			refuse(w, 503, limit.RetryAfterMin, model.Trouble{Code: "no_leader", Message: "no leader is known"})
			return
		}
		http.Redirect(w, r, "http://"+leader+r.URL.RequestURI(), http.StatusTemporaryRedirect)
		return
	}
	j := join{r: &reader{ch: make(chan line, 2*limit.EventsKept+limit.StreamBuffer)}}
	if f := r.URL.Query().Get("from"); f != "" {
		if _, err := fmt.Sscanf(f, "%d.%d", &j.term, &j.seq); err != nil {
			refuse(w, 400, 0, model.Trouble{Code: "bad_request", Message: "from is term.seq of the last line read"})
			return
		}
		j.resume = true
	}
	w.Header().Set("Content-Type", "application/jsonl")
	w.WriteHeader(200)
	rc := http.NewResponseController(w)
	rc.Flush()
	u.join <- j
	defer func() { u.join <- join{r: j.r, leave: true} }()
	enc := json.NewEncoder(w)
	for {
		select {
		case l := <-j.r.ch:
			if enc.Encode(l) != nil || len(j.r.ch) == 0 && rc.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// The stream of target events and decisions, which the leading control daemon serves as JSON lines. A client resumes
// with the term and sequence number of the last line it read. If it reads too slowly or resumes too late, it gets a
// line with the number of lines it missed.

package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// streamRecord is one line of the stream.
type streamRecord struct {
	Term uint64 `json:"term"`
	Seq  uint64 `json:"seq"`
	statemachine.Publish
	Missed uint64 `json:"missed,omitempty"` // number of missed lines that this one stands for, else 0
	Note   string `json:"note,omitempty"`   // why lines were missed
}

// streamReader is a client of the stream.
type streamReader struct {
	lines   chan streamRecord // lines to be sent to the client
	dropped uint64            // lines dropped since the last notice because the client is too slow
}

// position identifies a line of the stream.
type position struct{ term, seq uint64 }

// subscription adds a reader, or removes it.
type subscription struct {
	reader *streamReader
	after  *position // last line that the client read, nil to begin with the next line published
	remove bool      // remove the reader instead of adding it
}

// EventStream passes target events to the readers of the stream and keeps the last lines for readers that resume. A
// single goroutine owns the readers and the kept lines.
type EventStream struct {
	published     chan streamRecord
	subscriptions chan subscription
	done          <-chan struct{} // closed when the stream's context ends
}

// NewEventStream starts the goroutine that owns the stream. It ends with the context.
func NewEventStream(ctx context.Context) *EventStream {
	s := &EventStream{
		published:     make(chan streamRecord, tuning.EventQueue),
		subscriptions: make(chan subscription),
		done:          ctx.Done(),
	}
	go s.run()
	return s
}

// Publish adds a line to the stream. Slow readers don't block it.
func (s *EventStream) Publish(term uint64, event statemachine.Publish) {
	select {
	case s.published <- streamRecord{Term: term, Publish: event}:
	case <-s.done:
	}
}

// subscribe adds or removes a reader. It returns false if the stream has ended.
func (s *EventStream) subscribe(change subscription) bool {
	select {
	case s.subscriptions <- change:
		return true
	case <-s.done:
		return false
	}
}

func (s *EventStream) run() {
	var kept []streamRecord
	var seq uint64
	readers := map[*streamReader]bool{}
	for {
		select {
		case line := <-s.published:
			seq++
			line.Seq = seq
			kept = append(kept, line)
			if len(kept) > 2*tuning.EventsKept {
				kept = append([]streamRecord(nil), kept[tuning.EventsKept:]...)
			}
			for reader := range readers {
				reader.offer(line)
			}
		case change := <-s.subscriptions:
			if change.remove {
				delete(readers, change.reader)
				continue
			}
			readers[change.reader] = true
			if change.after != nil {
				change.reader.replay(kept, *change.after)
			}
		case <-s.done:
			return
		}
	}
}

// offer queues a line for a reader without blocking, preceded by a notice if lines have been dropped. If the reader's
// queue is full, the line is dropped.
func (r *streamReader) offer(line streamRecord) {
	if r.dropped > 0 {
		select {
		case r.lines <- streamRecord{Term: line.Term, Seq: line.Seq, Missed: r.dropped, Note: "lines were dropped because the reader was too slow"}:
			r.dropped = 0
		default:
		}
	}
	select {
	case r.lines <- line:
	default:
		r.dropped++
	}
}

// replay queues the kept lines after the last one that a reader has read. If lines in between are missing, it first
// queues a notice with their number.
func (r *streamReader) replay(kept []streamRecord, last position) {
	gap := true // whether lines may be missing between the last line read and the first one kept
	for _, line := range kept {
		if line.Term < last.term || line.Term == last.term && line.Seq <= last.seq {
			gap = false
			continue
		}
		if gap {
			missed := max(1, line.Seq-min(line.Seq, last.seq+1))
			r.offer(streamRecord{Term: line.Term, Seq: line.Seq, Missed: missed, Note: "earlier lines are no longer kept here, or were published by another leader"})
			gap = false
		}
		r.offer(line)
	}
}

// redirectToLeader redirects a client to the leader's HTTP address. If leaderAddr is empty, no leader is known and the
// client gets 503.
func redirectToLeader(w http.ResponseWriter, r *http.Request, leaderAddr string) {
	if leaderAddr == "" {
		writeError(w, http.StatusServiceUnavailable, tuning.RetryAfterMin, config.ErrorBody{Code: "no_leader", Message: "no leader is known"})
		return
	}
	http.Redirect(w, r, "http://"+leaderAddr+r.URL.RequestURI(), http.StatusTemporaryRedirect)
}

// parseFrom parses the query parameter from, the last line that the client read. It returns nil if the parameter is
// empty.
func parseFrom(from string) (*position, error) {
	if from == "" {
		return nil, nil
	}
	var last position
	if _, err := fmt.Sscanf(from, "%d.%d", &last.term, &last.seq); err != nil {
		return nil, err
	}
	return &last, nil
}

// Serve writes the lines of the stream to one client until it disconnects.
func (s *EventStream) Serve(w http.ResponseWriter, r *http.Request) {
	after, err := parseFrom(r.URL.Query().Get("from"))
	if err != nil {
		writeError(w, http.StatusBadRequest, 0, config.ErrorBody{Code: "bad_request", Message: "from must be the term.seq of the last line read"})
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	flusher.Flush()
	reader := &streamReader{lines: make(chan streamRecord, 2*tuning.EventsKept+tuning.StreamBuffer)}
	if !s.subscribe(subscription{reader: reader, after: after}) {
		return
	}
	defer s.subscribe(subscription{reader: reader, remove: true})
	encoder := json.NewEncoder(w)
	for {
		select {
		case line := <-reader.lines:
			if encoder.Encode(line) != nil || len(reader.lines) == 0 && flusher.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		case <-s.done:
			return
		}
	}
}

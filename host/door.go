// This file is the judge's stream over HTTP: POST /v1/judge takes lines as they come
// and answers each at once. A desk that breaks off is kept for a while, so that its
// reader goes on from the line it had got to. It judges beside the fleet, never in it.

package host

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"myrtlefold/limit"
	"myrtlefold/model"
	"myrtlefold/policy"
)

type desk struct {
	*policy.Desk
	id   string
	left time.Time // when its reader went, zero while it is there
}

type deskAsk struct {
	id    string
	leave *desk
	reply chan deskReply
}

type deskReply struct {
	d      *desk
	status int
	why    string
}

// Door is the desks' one owner; a desk is its reader's while that is there.
type Door struct{ ask chan deskAsk }

func NewDoor() *Door {
	u := &Door{make(chan deskAsk)}
	go func() {
		desks := map[string]*desk{}
		for a := range u.ask {
			for id, d := range desks {
				if !d.left.IsZero() && time.Since(d.left) > limit.DeskKept {
					delete(desks, id)
				}
			}
			d := desks[a.id]
			switch {
			case a.leave != nil:
				a.leave.left = time.Now()
			case a.id != "" && d == nil:
				a.reply <- deskReply{status: 404, why: "no such stream is kept; begin anew"}
			case a.id != "" && d.left.IsZero():
				a.reply <- deskReply{status: 409, why: "that stream has its reader"}
			case a.id != "":
				d.left = time.Time{}
				a.reply <- deskReply{d: d}
			case len(desks) >= limit.Desks:
				a.reply <- deskReply{status: 503, why: fmt.Sprintf("%d streams are open", limit.Desks)}
			default:
				d = &desk{Desk: policy.NewDesk(&model.Config{}), id: fmt.Sprintf("%016x", rand.Uint64())}
				desks[d.id] = d
				a.reply <- deskReply{d: d}
			}
		}
	}()
	return u
}

// ServeHTTP runs one stream until its reader ends it.
func (u *Door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	if rc.EnableFullDuplex() != nil { // or the answer would wait for the end of what is asked
		return
	}
	a := deskAsk{id: r.URL.Query().Get("resume"), reply: make(chan deskReply, 1)}
	u.ask <- a
	got := <-a.reply
	if got.d == nil {
		retry := time.Duration(0)
		if got.status == 503 {
			retry = limit.RetryAfterMin
		}
		w.Header().Set("Connection", "close")
		refuse(w, got.status, retry, model.Trouble{Code: "stream", Message: got.why})
		return
	}
	defer func() { u.ask <- deskAsk{leave: got.d} }()
	w.Header().Set("Content-Type", "application/jsonl")
	w.WriteHeader(200)
	enc := json.NewEncoder(w)
	if enc.Encode(map[string]any{"stream": got.d.id, "line": got.d.Line}) != nil || rc.Flush() != nil {
		return
	}
	sc := bufio.NewScanner(r.Body)
	sc.Buffer(nil, limit.LineMax)
	for sc.Scan() {
		for _, l := range got.d.Take(sc.Bytes()) {
			if enc.Encode(l) != nil {
				return
			}
		}
		if rc.Flush() != nil {
			return
		}
	}
	if err := sc.Err(); err != nil {
		enc.Encode(policy.OutLine{Line: got.d.Line + 1, Error: err.Error()})
	}
}

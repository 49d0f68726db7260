package daemon

import (
	"encoding/json"
	"fmt"
	"io"
	"myrtlefold/internal/shared/statemachine"
	"net/http"
	"net/http/httptest"
	"testing"

	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/tuning"
)

func note() statemachine.Publish { return statemachine.Publish{Event: &outlier.Event{}} }

// A reader resumes after the line it names, and is told of what it missed, be it
// for coming late or for reading too slowly.
func TestStream(t *testing.T) {
	u := NewEventStream()
	for range 10 {
		u.Publish(3, note())
	}
	next := func(r *reader) line { return <-r.lines }
	r := &reader{lines: make(chan line, 64)}
	for len(u.put) > 0 {
	}
	u.join <- join{r: r, term: 3, seq: 4, resume: true}
	for want := uint64(5); want <= 10; want++ {
		if l := next(r); l.Seq != want || l.Missed != 0 {
			t.Fatalf("%+v, want %d", l, want)
		}
	}
	u.Publish(4, note())
	if l := next(r); l.Seq != 11 || l.Term != 4 {
		t.Fatalf("%+v", l)
	}
	other := &reader{lines: make(chan line, 64)}
	u.join <- join{r: other, term: 2, seq: 900, resume: true} // from another leader
	if l := next(other); l.Missed == 0 {
		t.Fatalf("%+v", l)
	}
	slow := &reader{lines: make(chan line, 2)}
	u.join <- join{r: slow}
	for range 5 {
		u.Publish(4, note())
	}
	for len(u.put) > 0 {
	}
	u.join <- join{r: other, leave: true} // taken only when the last line has been given out
	if a, b := next(slow), next(slow); a.Seq != 12 || b.Seq != 13 {
		t.Fatalf("%+v %+v", a, b)
	}
	u.Publish(4, note())
	if l := next(slow); l.Missed != 3 {
		t.Fatalf("%+v", l)
	}
	for range 3 * tuning.EventsKept {
		u.Publish(4, note()) // nobody reads, nobody waits
	}
}

// The judge over HTTP: each line is answered while the stream is open, and one that
// broke off goes on where it was.
func TestSessions(t *testing.T) {
	srv := httptest.NewServer(NewSessions())
	defer srv.Close()
	open := func(q string) (*io.PipeWriter, *json.Decoder, *http.Response) {
		r, w := io.Pipe()
		req, _ := http.NewRequest("POST", srv.URL+q, r)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		return w, json.NewDecoder(resp.Body), resp
	}
	miss := func(w io.Writer, at int) {
		fmt.Fprintf(w, `{"at_ns":%d,"slice":"probe","service":"s","name":"a","incarnation":1}`+"\n", at)
	}
	var hello struct {
		Stream string
		Line   uint64
	}
	var l outlier.Result
	w, d, resp := open("")
	if err := d.Decode(&hello); err != nil || hello.Line != 0 {
		t.Fatal(err, hello)
	}
	if pw, _, other := open("?resume=" + hello.Stream); other.StatusCode != 409 {
		t.Fatal(other.Status)
	} else {
		pw.Close()
	}
	fmt.Fprintln(w, "nonsense")
	if err := d.Decode(&l); err != nil || l.Line != 1 || l.Error == "" {
		t.Fatal(err, l)
	}
	miss(w, 1e9)
	w.Close()
	for d.Decode(&l) == nil {
	}
	resp.Body.Close()
	again := func() (*io.PipeWriter, *json.Decoder, *http.Response) {
		for {
			w, d, resp := open("?resume=" + hello.Stream)
			if resp.StatusCode != 409 {
				return w, d, resp
			}
			w.Close()
		}
	}
	w, d, resp = again()
	if err := d.Decode(&hello); err != nil || hello.Line != 2 {
		t.Fatal(err, hello)
	}
	miss(w, 2e9)
	if err := d.Decode(&l); err != nil || l.Line != 3 || l.Decision == nil || l.Decision.Kind != "bar" {
		t.Fatal(err, l)
	}
	w.Close()
	resp.Body.Close()
	if pw, _, none := open("?resume=gone"); none.StatusCode != 404 {
		t.Fatal(none.Status)
	} else {
		pw.Close()
	}
}

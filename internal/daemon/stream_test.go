package daemon

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"myrtlefold/internal/shared/statemachine"

	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/tuning"
)

func publishedEvent() statemachine.Publish { return statemachine.Publish{Event: &outlier.Event{}} }

// await waits until the stream's goroutine has dequeued all lines published so far.
func (s *EventStream) await() {
	for len(s.published) > 0 {
		runtime.Gosched()
	}
}

// A reader resumes after the given line, and gets the number of lines it missed by resuming too late or reading too
// slowly. Publishing never blocks on a slow reader.
func TestStream(t *testing.T) {
	stream := NewEventStream(t.Context())
	for range 10 {
		stream.Publish(3, publishedEvent())
	}
	next := func(reader *streamReader) streamRecord { return <-reader.lines }
	reader := &streamReader{lines: make(chan streamRecord, 64)}
	stream.await()
	stream.subscribe(subscription{reader: reader, after: &position{term: 3, seq: 4}})
	for want := uint64(5); want <= 10; want++ {
		if line := next(reader); line.Seq != want || line.Missed != 0 {
			t.Fatalf("line %+v, want line %d", line, want)
		}
	}
	stream.Publish(4, publishedEvent())
	if line := next(reader); line.Seq != 11 || line.Term != 4 {
		t.Fatalf("line %+v, want line 11 of term 4", line)
	}
	other := &streamReader{lines: make(chan streamRecord, 64)}
	stream.subscribe(subscription{reader: other, after: &position{term: 2, seq: 900}}) // a line that another leader published
	if line := next(other); line.Missed == 0 {
		t.Fatalf("line %+v, want a number of missed lines", line)
	}
	slow := &streamReader{lines: make(chan streamRecord, 2)}
	stream.subscribe(subscription{reader: slow})
	for range 5 {
		stream.Publish(4, publishedEvent())
	}
	stream.await()
	stream.subscribe(subscription{reader: other, remove: true}) // handled after all lines have been offered
	if a, b := next(slow), next(slow); a.Seq != 12 || b.Seq != 13 {
		t.Fatalf("lines %+v and %+v, want 12 and 13", a, b)
	}
	stream.Publish(4, publishedEvent())
	if line := next(slow); line.Missed != 3 {
		t.Fatalf("line %+v, want 3 missed lines", line)
	}
	for range 3 * tuning.EventsKept {
		stream.Publish(4, publishedEvent()) // must not block although no reader reads
	}
}

// openTestSession opens a policy session. What is written to lines is the body of the request.
func openTestSession(t *testing.T, url string) (lines *io.PipeWriter, answers *json.Decoder, response *http.Response) {
	t.Helper()
	body, lines := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, url, body)
	if err != nil {
		t.Fatal(err)
	}
	response, err = http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	return lines, json.NewDecoder(response.Body), response
}

// A policy session responds to each line while the request is open, and an interrupted session resumes after the last
// line read.
func TestSessions(t *testing.T) {
	server := httptest.NewServer(NewSessions(t.Context()))
	defer server.Close()
	// missedCheck writes the event of a missed health check at a time in ns.
	missedCheck := func(w io.Writer, at int) {
		fmt.Fprintf(w, `{"at_ns":%d,"slice":"probe","service":"s","name":"a","incarnation":1}`+"\n", at)
	}
	checkStatus := func(query string, want int) {
		t.Helper()
		lines, _, response := openTestSession(t, server.URL+query)
		if response.StatusCode != want {
			t.Fatalf("query %q: status %s, want %d", query, response.Status, want)
		}
		lines.Close()
	}
	var opened sessionOpened
	var result outlier.Result
	lines, answers, response := openTestSession(t, server.URL)
	if err := answers.Decode(&opened); err != nil || opened.LinesRead != 0 {
		t.Fatalf("new session: error %v, first line %+v, want 0 lines read", err, opened)
	}
	checkStatus("?resume="+opened.Stream, http.StatusConflict)
	fmt.Fprintln(lines, "nonsense")
	if err := answers.Decode(&result); err != nil || result.Line != 1 || result.Error == "" {
		t.Fatalf("invalid line: error %v, result %+v, want an error for line 1", err, result)
	}
	missedCheck(lines, 1e9)
	lines.Close()
	for answers.Decode(&result) == nil {
	}
	response.Body.Close()
	resume := func() (*io.PipeWriter, *json.Decoder, *http.Response) {
		for {
			lines, answers, response := openTestSession(t, server.URL+"?resume="+opened.Stream)
			if response.StatusCode != http.StatusConflict {
				return lines, answers, response
			}
			lines.Close()
		}
	}
	lines, answers, response = resume()
	if err := answers.Decode(&opened); err != nil || opened.LinesRead != 2 {
		t.Fatalf("resumed session: error %v, first line %+v, want 2 lines read", err, opened)
	}
	missedCheck(lines, 2e9)
	if err := answers.Decode(&result); err != nil || result.Line != 3 || result.Decision == nil || result.Decision.Kind != "bar" {
		t.Fatalf("second missed check: error %v, result %+v, want an ejection at line 3", err, result)
	}
	lines.Close()
	response.Body.Close()
	checkStatus("?resume=gone", http.StatusNotFound)
}

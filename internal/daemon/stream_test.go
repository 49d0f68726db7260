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

// await waits until all lines published so far have been taken from the queue.
func (s *EventStream) await() {
	for len(s.published) > 0 {
		runtime.Gosched()
	}
}

// A reader resumes after the line it names, and gets the number of lines that it missed, be it for coming late or for
// reading too slowly.
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
			t.Fatalf("%+v, want %d", line, want)
		}
	}
	stream.Publish(4, publishedEvent())
	if line := next(reader); line.Seq != 11 || line.Term != 4 {
		t.Fatalf("%+v", line)
	}
	other := &streamReader{lines: make(chan streamRecord, 64)}
	stream.subscribe(subscription{reader: other, after: &position{term: 2, seq: 900}}) // from another leader
	if line := next(other); line.Missed == 0 {
		t.Fatalf("%+v", line)
	}
	slow := &streamReader{lines: make(chan streamRecord, 2)}
	stream.subscribe(subscription{reader: slow})
	for range 5 {
		stream.Publish(4, publishedEvent())
	}
	stream.await()
	stream.subscribe(subscription{reader: other, remove: true}) // taken only when the last line has been offered
	if a, b := next(slow), next(slow); a.Seq != 12 || b.Seq != 13 {
		t.Fatalf("%+v %+v", a, b)
	}
	stream.Publish(4, publishedEvent())
	if line := next(slow); line.Missed != 3 {
		t.Fatalf("%+v", line)
	}
	for range 3 * tuning.EventsKept {
		stream.Publish(4, publishedEvent()) // nobody reads, nobody waits
	}
}

// openTestSession opens a policy session: what is written to lines is its request's body.
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

// The outlier detector over HTTP: each line is answered while the stream is open, and one that broke off goes on where
// it was.
func TestSessions(t *testing.T) {
	server := httptest.NewServer(NewSessions(t.Context()))
	defer server.Close()
	missedCheck := func(w io.Writer, at int) {
		fmt.Fprintf(w, `{"at_ns":%d,"slice":"probe","service":"s","name":"a","incarnation":1}`+"\n", at)
	}
	checkStatus := func(query string, want int) {
		t.Helper()
		lines, _, response := openTestSession(t, server.URL+query)
		if response.StatusCode != want {
			t.Fatal(response.Status)
		}
		lines.Close()
	}
	var opened sessionOpened
	var result outlier.Result
	lines, answers, response := openTestSession(t, server.URL)
	if err := answers.Decode(&opened); err != nil || opened.LinesRead != 0 {
		t.Fatal(err, opened)
	}
	checkStatus("?resume="+opened.Stream, http.StatusConflict)
	fmt.Fprintln(lines, "nonsense")
	if err := answers.Decode(&result); err != nil || result.Line != 1 || result.Error == "" {
		t.Fatal(err, result)
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
		t.Fatal(err, opened)
	}
	missedCheck(lines, 2e9)
	if err := answers.Decode(&result); err != nil || result.Line != 3 || result.Decision == nil || result.Decision.Kind != "bar" {
		t.Fatal(err, result)
	}
	lines.Close()
	response.Body.Close()
	checkStatus("?resume=gone", http.StatusNotFound)
}

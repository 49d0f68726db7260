package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A surplus answer follows a whole one at once, or with the next request at the latest, and
// bears neither its id nor its body.
func TestSurplusAnswer(t *testing.T) {
	for _, late := range []time.Duration{0, time.Hour} {
		a, b := net.Pipe()
		header := http.Header{"Att": {"7"}, "Content-Length": {"10"}}
		go surplusAnswer(a, header, []byte(`{"id":"7"}`), "7", "Att", late)
		rd := bufio.NewReader(b)
		for _, want := range [][2]string{{"7", `{"id":"7"}`}, {"surplus-7", `{"id":"surplus-7"}`}} {
			resp, err := http.ReadResponse(rd, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || string(body) != want[1] || resp.Header.Get("Att") != want[0] {
				t.Fatalf("%v %v %q", err, resp.Header, body)
			}
			if late > 0 && want[0] == "7" {
				b.Write([]byte("G"))
			}
		}
		b.Close()
	}
}

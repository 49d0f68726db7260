package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A surplus response follows a complete one immediately, or when the next request arrives if that is before the end of
// the delay. It has another id and another body.
func TestSurplusResponse(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Hour} {
		server, client := net.Pipe()
		header := http.Header{"Att": {"7"}, "Content-Length": {"10"}}
		go sendSurplus(server, surplusResponse{header: header, body: []byte(`{"id":"7"}`), id: "7", attemptHeader: "Att", delay: delay})
		responses := bufio.NewReader(client)
		for _, want := range [][2]string{{"7", `{"id":"7"}`}, {"surplus-7", `{"id":"surplus-7"}`}} {
			response, err := http.ReadResponse(responses, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if err != nil || string(body) != want[1] || response.Header.Get("Att") != want[0] {
				t.Fatalf("delay %v: error %v, header %v, body %q; want id %s, body %s", delay, err, response.Header, body, want[0], want[1])
			}
			if delay > 0 && want[0] == "7" {
				client.Write([]byte("G"))
			}
		}
		client.Close()
	}
}

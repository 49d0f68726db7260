package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"myrtlefold/model"
)

// A request that is under way when the proxy begins to stop is answered, and the answer ends its
// caller's connection, so that the caller sends nothing more on it.
func TestAnswerBegunBeforeTheStopEndsItsConnection(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		begun, answered := make(chan bool), make(chan bool)
		a := serve(t, "a", func(w http.ResponseWriter, _ *http.Request) {
			close(begun)
			<-answered
			w.Header().Set("P", "a")
			fmt.Fprint(w, "whole")
		})
		f := carrier(t, a.Target).asked(model.Repeatable)
		c, err := net.Dial("tcp", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "%s /0 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", method)
		<-begun
		f.car.Leaving.Store(true)
		close(answered)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("%s: %d, closes its connection: %v", method, resp.StatusCode, resp.Close)
		}
	}
}

// This file is callers that keep their connections: a request goes to the proxy that its connection leads
// to, ready or not, until that proxy closes the connection or is gone.

package simulator

// keptConnection is a caller's connection to a start of a proxy.
type keptConnection struct {
	gate   *Process
	gen    int
	closed bool // by the proxy
}

// usable says whether its caller still takes the connection for open.
func (c *keptConnection) usable() bool {
	return c.gate != nil && !c.closed && c.gate.alive && c.gate.gen == c.gen && !c.gate.intakeClosed
}

// requestOnKept sends a request on one of the kept connections, which is opened anew if it is closed.
func (w *World) requestOnKept(svc string, unsafe bool) {
	for len(w.kept) < w.Plan.PersistentConnections {
		w.kept = append(w.kept, &keptConnection{})
	}
	c := w.kept[w.rnd.IntN(len(w.kept))]
	if !c.usable() {
		p := w.pickProxy()
		if p == nil {
			return
		}
		*c = keptConnection{gate: p, gen: p.gen}
	}
	// The answer may come at once: the request has its connection from the beginning.
	w.onKept = c
	w.requestAt(c.gate, svc, unsafe, 0)
	w.onKept = nil
}

// closeAfterAnswer closes the connection of an answer that a stopping proxy gives.
func (w *World) closeAfterAnswer(x *request) {
	if x.kept != nil && x.gate.asked {
		x.kept.closed = true
	}
}

package simulator

// persistentConnection is a caller's connection to a start of a proxy: requests go on it, whether the proxy is
// ready or not, until the proxy closes it or is gone.
type persistentConnection struct {
	proxy         *Process
	incarnation   int
	closedByProxy bool
}

// usable says whether the connection is still open to its caller.
func (c *persistentConnection) usable() bool {
	return c.proxy != nil && !c.closedByProxy && c.proxy.alive && c.proxy.incarnation == c.incarnation && !c.proxy.rejectsConnections
}

// sendOnPersistentConnection sends a request on one of the callers' connections, which is opened anew if it is closed.
func (w *World) sendOnPersistentConnection(service string, nonIdempotent bool) {
	for len(w.callers.connections) < w.Plan.PersistentConnections {
		w.callers.connections = append(w.callers.connections, &persistentConnection{})
	}
	c := w.callers.connections[w.random.IntN(len(w.callers.connections))]
	if !c.usable() {
		p := w.pickProxy()
		if p == nil {
			return
		}
		*c = persistentConnection{proxy: p, incarnation: p.incarnation}
	}
	w.admit(&request{service: service, nonIdempotent: nonIdempotent, proxy: c.proxy, incarnation: c.incarnation, connection: c})
}

// closeAfterResponse closes the connection of a response that a stopping proxy gives.
func (w *World) closeAfterResponse(r *request) {
	if r.connection != nil && r.proxy.stopping {
		r.connection.closedByProxy = true
	}
}

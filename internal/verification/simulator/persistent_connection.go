package simulator

// persistentConnection is a caller's connection to one incarnation of a proxy. The caller sends requests on it, whether the proxy
// is ready or not, until the proxy closes it or ends.
type persistentConnection struct {
	proxy         *Process
	incarnation   int
	closedByProxy bool
}

// usable reports whether the caller can still send requests on the connection.
func (c *persistentConnection) usable() bool {
	return c.proxy != nil && !c.closedByProxy && c.proxy.alive && c.proxy.incarnation == c.incarnation && !c.proxy.rejectsConnections
}

// sendOnPersistentConnection sends a request on a random persistent connection, which it reopens if it is closed.
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

// closeAfterResponse closes the connection of a request to which a stopping proxy has responded.
func (w *World) closeAfterResponse(r *request) {
	if r.connection != nil && r.proxy.stopping {
		r.connection.closedByProxy = true
	}
}

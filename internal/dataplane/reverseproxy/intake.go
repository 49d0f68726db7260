// This file is the intake: the listener and callers' connections, how many of them have a request
// under way, and how a stopping proxy ends taking requests on them.

package reverseproxy

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// CallerConns is callers' connections by what the library's server says of them. A connection is busy from
// the moment at which a request's header was read until its answer was written.
type CallerConns struct {
	listener atomic.Pointer[net.Listener]
	states   sync.Map // *caller to http.ConnState
	open     atomic.Int64
	busy     atomic.Int64
	closed   atomic.Bool
}

// Open is how many connections of callers there are.
func (i *CallerConns) Open() int64 { return i.open.Load() }

// Busy is how many of them have a request under way.
func (i *CallerConns) Busy() int64 { return i.busy.Load() }

// Closed says whether the intake was closed.
func (i *CallerConns) Closed() bool { return i.closed.Load() }

// Close ends the intake: the listener, and each connection with no request under way. Whoever calls it has
// the owner refuse what comes from then on: a request may just be read from a connection that is closed here.
func (i *CallerConns) Close() {
	i.closed.Store(true)
	if l := i.listener.Load(); l != nil {
		(*l).Close()
	}
	i.states.Range(func(key, state any) bool {
		if p := key.(*callerConn); state != http.StateActive && !p.hasPipelined() {
			p.Close()
		}
		return true
	})
}

// ConnState takes in a connection's change of state; it is the server's hook.
func (i *CallerConns) ConnState(conn net.Conn, state http.ConnState) {
	p, ok := conn.(*callerConn)
	if !ok {
		return
	}
	was, known := i.states.Load(p)
	if known && was == http.StateActive {
		i.busy.Add(-1)
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		i.states.Delete(p)
		i.open.Add(-1)
		return
	case http.StateNew:
		i.open.Add(1)
	case http.StateActive:
		i.busy.Add(1)
	case http.StateIdle:
		if i.Closed() && !p.hasPipelined() {
			p.Close()
		}
	}
	i.states.Store(p, state)
}

// hasPipelined says whether requests of the connection are begun whose turn has not come.
func (p *callerConn) hasPipelined() bool { return p.unanswered.Load() > 0 }

package gracefulclose

import (
	"container/list"
	"sync"
)

// queue holds connections in the order in which they were added. The zero value is empty.
type queue struct {
	mutex sync.Mutex
	conns list.List // of *Conn
}

// len returns the number of connections.
func (q *queue) len() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.conns.Len()
}

// add adds a connection. If there are more than limit then, it also removes and returns the oldest one.
func (q *queue) add(conn *Conn, limit int) (oldest *Conn) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	conn.position = q.conns.PushBack(conn)
	if q.conns.Len() <= limit {
		return nil
	}
	oldest = q.conns.Front().Value.(*Conn)
	q.take(oldest)
	return oldest
}

// remove removes a connection. It returns false if the connection was removed before.
func (q *queue) remove(conn *Conn) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.take(conn)
}

// take is remove for a caller that holds the mutex.
func (q *queue) take(conn *Conn) bool {
	if conn.position == nil {
		return false
	}
	q.conns.Remove(conn.position)
	conn.position = nil
	return true
}

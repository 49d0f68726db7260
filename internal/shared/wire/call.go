package wire

// Call is an HTTP request from an operator or a target that a member forwards to the leader, or the leader's response.
type Call struct {
	ID           uint64 `capnp:"id"` // chosen by the forwarding member; the response repeats it
	Reply        bool   // set in the response
	Method       string
	Path         string
	Query        string // without the question mark
	Body         []byte
	Status       uint16 // in a response: the HTTP status
	RetryAfterMs uint32 // in a response: delay before a retry, in ms; 0: not set
	Token        string // idempotency key: a change that is sent several times with the same token is applied once
}

package wire

// Call is an operator's or a target's HTTP call that a member forwards to the leader, or the response.
type Call struct {
	ID           uint64 `capnp:"id"` // pairs the response with the call
	Reply        bool   // it is the response
	Method       string
	Path         string
	Query        string // without the question mark
	Body         []byte
	Status       uint16 // in a response: the HTTP status
	RetryAfterMs uint32 // in a response: when to retry, in ms; 0: not set
	Token        string // identifies a change, so that it is applied once however often it is sent
}

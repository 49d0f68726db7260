// Package wire holds the messages between daemons, and the batches that a member writes to its disk:
// plain Go structs, and their form on connections and disks.
//
// The structs are Cap'n Proto messages (schema in msg.capnp, generated code in msg.capnp.go) in
// packed encoding, each behind its two lengths. State machines and the simulator handle only the
// structs; package daemon encodes them at the edge of a process. The package opens no connection
// and gives no message a meaning: that is for consensus, discovery, the control and the data plane.
//
// Begin with Message; daemon.go, consensus.go, table.go, target.go and call.go hold its parts.
// Encode and Decode turn a message into bytes and back, Writer and Reader (stream.go) put many on one
// connection.
package wire

// Kind names the part of a Message that is set.
type Kind uint16

// The kinds of messages.
const (
	KindHello     Kind = iota + 1 // discovery: which daemons there are, and which member leads
	KindVote                      // election: a request for a vote, or the response
	KindAppend                    // replication: heartbeat and log entries, or the response
	KindPull                      // a proxy's request for its table and lease
	KindPush                      // the response to a pull
	KindHeartbeat                 // a target's heartbeat, forwarded by a proxy
	KindCall                      // an HTTP call that a member forwards to the leader, or the response
)

// kindNames are the names of the kinds of messages in reports of the simulator.
var kindNames = map[Kind]string{
	KindHello:     "hello",
	KindVote:      "vote",
	KindAppend:    "append",
	KindPull:      "pull",
	KindPush:      "push",
	KindHeartbeat: "beat",
	KindCall:      "ask",
}

// String returns the kind's name in reports, "" for a kind that is not defined.
func (k Kind) String() string { return kindNames[k] }

// Message is one message between daemons. Exactly the part of its Kind is set.
type Message struct {
	Kind      Kind
	From      string  // the sender's name
	To        string  // the receiver's name; not sent, since a connection has one receiver
	Disk      uint64  // the sender's disk number if it is a member; of a pull and its push: the proxy's incarnation
	Epoch     uint64  // how often the control plane was bootstrapped, as the sender knows it
	Term      uint64  // the sender's election term
	Timestamp int64   // the sender's clock in ns; a response repeats the request's
	Hello     *Hello  // set for KindHello
	Vote      *Vote   // set for KindVote
	Append    *Append // set for KindAppend
	Pull      *Pull   // set for KindPull
	Push      *Push   // set for KindPush
	Heartbeat *Target // set for KindHeartbeat
	Call      *Call   // set for KindCall
}

// Package wire defines the messages between daemons and the batches that a member writes to its disk,
// as plain Go structs, and their encoding on connections and disks.
//
// The encoding is Cap'n Proto (schema in msg.capnp, generated code in msg.capnp.go). On a connection each
// message is packed and preceded by two lengths. State machines and the simulator handle only the structs;
// package daemon encodes and decodes them at the boundary of a process. This package does not open
// connections or interpret messages: consensus, discovery, the control plane and the data plane do.
//
// Start with Message; daemon.go, consensus.go, table.go, target.go and call.go define its parts.
// Encode and Decode convert a message to bytes and back. Writer and Reader (stream.go) transfer a
// sequence of messages over one connection.
package wire

// Kind is the kind of a Message, which determines the part that is set.
type Kind uint16

// The kinds of messages.
const (
	KindHello     Kind = iota + 1 // discovery: known daemons and the leader
	KindVote                      // election: vote request or response
	KindAppend                    // replication: leader heartbeat with log entries, or response
	KindPull                      // a proxy's request for its table and lease
	KindPush                      // response to a pull
	KindHeartbeat                 // a target's heartbeat, forwarded by a proxy
	KindCall                      // HTTP request that a member forwards to the leader, or response
)

// kindNames maps each kind to its name in simulator reports.
var kindNames = map[Kind]string{
	KindHello:     "hello",
	KindVote:      "vote",
	KindAppend:    "append",
	KindPull:      "pull",
	KindPush:      "push",
	KindHeartbeat: "beat",
	KindCall:      "ask",
}

// String returns the name of the kind in reports, or "" for an undefined kind.
func (k Kind) String() string { return kindNames[k] }

// RelayedHeartbeatTimestamp is the Timestamp of a heartbeat message that must not be relayed again. Control daemons and
// proxies set it when they relay a heartbeat.
const RelayedHeartbeatTimestamp = 1

// Message is a message between daemons. Only the part that corresponds to Kind is set.
type Message struct {
	Kind      Kind
	From      string  // name of the sender
	To        string  // name of the receiver; not transmitted, since a connection has one receiver
	Disk      uint64  // disk number of a sender that is a member; in a pull and its push: incarnation of the proxy
	Epoch     uint64  // number of bootstraps of the control plane so far, as known to the sender
	Term      uint64  // election term of the sender
	Timestamp int64   // clock of the sender, in ns; a response repeats the timestamp of its request
	Hello     *Hello  // set for KindHello
	Vote      *Vote   // set for KindVote
	Append    *Append // set for KindAppend
	Pull      *Pull   // set for KindPull
	Push      *Push   // set for KindPush
	Heartbeat *Target // set for KindHeartbeat
	Call      *Call   // set for KindCall
}

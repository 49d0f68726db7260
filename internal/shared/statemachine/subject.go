package statemachine

// Subject is what a StateChange is about. Its values appear in log lines.
type Subject string

// Subjects of state changes.
const (
	SubjectLeadership    Subject = "lead"       // whether this member is the leader, and in which phase
	SubjectTransfer      Subject = "leadership" // a transfer of leadership
	SubjectMember        Subject = "member"     // the member list
	SubjectEpoch         Subject = "epoch"      // the bootstrap epoch
	SubjectDamage        Subject = "damage"     // unreadable stored or received data
	SubjectDisk          Subject = "disk"       // whether the disk accepts writes
	SubjectMessage       Subject = "message"    // a rejected message
	SubjectRevision      Subject = "revision"   // the configuration's revision
	SubjectConfiguration Subject = "in force"   // a committed configuration that is not in force yet
	SubjectProxy         Subject = "gate"       // a proxy's state: on the leader's lease, on peer leases or isolated
	SubjectTarget        Subject = "target"     // a target's state, or decisions on it
	SubjectShutdown      Subject = "stop"       // a graceful shutdown
)

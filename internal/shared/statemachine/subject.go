package statemachine

// Subject is whose state a StateChange is about. The texts are in log lines.
type Subject string

// Subjects of state changes.
const (
	SubjectLeadership    Subject = "lead"       // whether this member is the leader, and the phase of its leadership
	SubjectTransfer      Subject = "leadership" // a transfer of leadership
	SubjectMember        Subject = "member"     // the member list
	SubjectEpoch         Subject = "epoch"      // the bootstrap epoch
	SubjectDamage        Subject = "damage"     // unreadable stored or received data
	SubjectDisk          Subject = "disk"       // whether the disk works
	SubjectMessage       Subject = "message"    // a rejected message
	SubjectRevision      Subject = "revision"   // the configuration's revision
	SubjectConfiguration Subject = "in force"   // a committed configuration that is not in force yet
	SubjectProxy         Subject = "gate"       // the state of a proxy: leased, on peer leases, isolated
	SubjectTarget        Subject = "target"     // a target's state or decisions on it
	SubjectShutdown      Subject = "stop"       // a graceful shutdown
)

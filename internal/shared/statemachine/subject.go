package statemachine

// Subject is what a StateChange is of. The texts stand in log lines.
type Subject string

// Subjects of state changes.
const (
	SubjectLeadership    Subject = "lead"       // whether this member leads, and how far it has come
	SubjectTransfer      Subject = "leadership" // leadership is handed over
	SubjectMember        Subject = "member"     // the list of members
	SubjectEpoch         Subject = "epoch"
	SubjectDamage        Subject = "damage"   // something stored or received can't be read
	SubjectDisk          Subject = "disk"     // whether the disk takes writes
	SubjectMessage       Subject = "message"  // a message was rejected
	SubjectRevision      Subject = "revision" // of the configuration
	SubjectConfiguration Subject = "in force" // an acknowledged configuration that is not in force yet
	SubjectProxy         Subject = "gate"     // by what right a proxy serves
	SubjectTarget        Subject = "target"
	SubjectShutdown      Subject = "stop"
)

package membership

// ActionKind tells what a Machine asks its driver to do.
type ActionKind string

// Kinds of actions. Suspect, Dead, Refute and Change concern Member, which the driver pushes to its neighbours.
const (
	ActionHeartbeat ActionKind = "heartbeat" // send a heartbeat on every link to a member, whoever opened it
	ActionProbe     ActionKind = "probe"     // try to reach member To, which is considered dead, and exchange members
	ActionTell      ActionKind = "tell"      // send Member to member To only: its own view of itself is behind
	ActionSuspect   ActionKind = "suspect"   // this process suspects Member
	ActionDead      ActionKind = "dead"      // Member did not refute a suspicion in time
	ActionRefute    ActionKind = "refute"    // Member is this process, with a higher incarnation
	ActionChange    ActionKind = "change"    // Member is new or changed, as learned from another member or announced here
)

// Action is one thing that the driver of a Machine does.
type Action struct {
	Kind   ActionKind
	To     string
	Member Member
}

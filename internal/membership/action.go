package membership

// ActionKind is the kind of an Action.
type ActionKind string

// Kinds of actions. For ActionSuspect, ActionDead, ActionRefute and ActionChange, the driver sends Member to the
// neighbours.
const (
	ActionHeartbeat ActionKind = "heartbeat" // send a heartbeat on every link to a member, whichever side opened it
	ActionProbe     ActionKind = "probe"     // connect to member To, which is dead in this view, and exchange members
	ActionNotify    ActionKind = "tell"      // send Member, the state of To in this view, to To only, so that To can refute it
	ActionSuspect   ActionKind = "suspect"   // this process suspects Member
	ActionDead      ActionKind = "dead"      // Member did not refute a suspicion within Options.RefuteWithin
	ActionRefute    ActionKind = "refute"    // Member is this process with a higher incarnation
	ActionChange    ActionKind = "change"    // Member is new or changed, by Merge or Announce
)

// Action is a request of a Machine to its driver.
type Action struct {
	Kind   ActionKind
	To     string
	Member Member
}

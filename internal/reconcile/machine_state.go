package reconcile

// MachineState is how far the comparison of one machine's records with its heartbeats is.
type MachineState string

// The states of a machine.
const (
	MachineUnregistered   MachineState = "unregistered"   // no heartbeat under this view's fencing token yet
	MachineRegistered     MachineState = "registered"     // not compared yet
	MachineDiffers        MachineState = "differs"        // something is still to be done about it
	MachineReconciled     MachineState = "reconciled"     // records and heartbeats agree
	MachineDecommissioned MachineState = "decommissioned" // no longer waited for: it does not answer, or is lost
)

// Event is what happens to a machine.
type Event string

// The events of a machine.
const (
	HeartbeatReceived Event = "heartbeat under this view's fencing token"
	RecordsMatch      Event = "compared, nothing differs"
	RecordsDiffer     Event = "compared, something differs"
	CallUnanswered    Event = "call unanswered, or decommissioned"
	TokenChanged      Event = "fencing token changed" // what it reported before no longer counts
)

// Next returns a machine's state after an event, and whether the event changes it. A machine's state changes nowhere
// else.
func Next(state MachineState, event Event) (next MachineState, changed bool) {
	switch event {
	case HeartbeatReceived:
		return transition(state, MachineRegistered, MachineUnregistered, MachineDecommissioned)
	case RecordsMatch:
		return transition(state, MachineReconciled, MachineRegistered, MachineDiffers)
	case RecordsDiffer:
		return transition(state, MachineDiffers, MachineRegistered, MachineReconciled)
	case CallUnanswered:
		return transition(state, MachineDecommissioned, MachineUnregistered)
	case TokenChanged:
		return transition(state, MachineUnregistered, MachineRegistered, MachineDiffers, MachineReconciled)
	}
	return state, false
}

// transition goes from one of some states to another; any other state stays.
func transition(state, to MachineState, from ...MachineState) (next MachineState, changed bool) {
	for _, f := range from {
		if state == f {
			return to, true
		}
	}
	return state, false
}

// Counts is how many machines are in each state. The summary log line prints it.
type Counts struct {
	Unregistered   int
	Registered     int
	Differs        int
	Reconciled     int
	Decommissioned int
}

// of is the count of a state.
func (c *Counts) of(state MachineState) *int {
	switch state {
	case MachineUnregistered:
		return &c.Unregistered
	case MachineRegistered:
		return &c.Registered
	case MachineDiffers:
		return &c.Differs
	case MachineReconciled:
		return &c.Reconciled
	case MachineDecommissioned:
	}
	return &c.Decommissioned
}

package reconcile

// MachineState is the progress of reconciling one machine's records with its heartbeats.
type MachineState string

// The states of a machine.
const (
	MachineUnregistered   MachineState = "unregistered"   // no heartbeat under this view's fencing token yet
	MachineRegistered     MachineState = "registered"     // has sent a heartbeat that was not compared yet
	MachineDiffers        MachineState = "differs"        // records and heartbeats differ, and that is not resolved yet
	MachineReconciled     MachineState = "reconciled"     // records and heartbeats agree
	MachineDecommissioned MachineState = "decommissioned" // no longer awaited: it does not answer, or is lost
)

// Event is an event that may change a machine's state.
type Event string

// The events.
const (
	HeartbeatReceived Event = "heartbeat under this view's fencing token"
	RecordsMatch      Event = "compared, nothing differs"
	RecordsDiffer     Event = "compared, something differs"
	CallUnanswered    Event = "call unanswered, or decommissioned"
	TokenChanged      Event = "fencing token changed" // earlier heartbeats no longer count
)

// Next returns a machine's state after an event, and whether the event changes it. All changes of a
// machine's state go through Next.
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

// transition returns to if state is one of from, and otherwise leaves state unchanged.
func transition(state, to MachineState, from ...MachineState) (next MachineState, changed bool) {
	for _, f := range from {
		if state == f {
			return to, true
		}
	}
	return state, false
}

// Counts is the number of machines in each state. The summary log line prints it.
type Counts struct {
	Unregistered   int
	Registered     int
	Differs        int
	Reconciled     int
	Decommissioned int
}

// of returns a pointer to the count of a state.
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

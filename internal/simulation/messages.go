package simulation

import "time"

// MessageKind is which way a message passes a controller's border.
type MessageKind string

// What a controller sends and what comes to it.
const (
	RequestSent      MessageKind = "asks"    // its request to the state service, the cloud or a machine
	ResponseReceived MessageKind = "told"    // the answer to that, or why there is none
	RequestReceived  MessageKind = "asked"   // a user's or a machine's request to it
	ResponseSent     MessageKind = "answers" // its answer to that
	GossipSent       MessageKind = "says"    // its line to another controller
	GossipReceived   MessageKind = "hears"   // another's line to it
	Disconnected     MessageKind = "ended"   // its connection to another ended, or was refused
)

// Message is one thing that passes between a controller and what is around it, when the
// controller sends it or has it: one that is lost on the way is only sent.
type Message struct {
	At         time.Duration // since the start of the simulation
	Node       string        // the controller
	Kind       MessageKind
	Number     int    // an answer has that of its request; others are counted by the simulator
	Party      string // "state", "watch", "cloud", a machine's address or a controller; "" with Asked, Answers and Hears
	Method     string
	Target     string
	Timeout    time.Duration // of Asks
	Status     int
	RetryAfter int
	Body       []byte // not to be kept or changed
	Err        error  // of Told, if there is no answer
}

// record passes Simulator.Messages a message and gives back its number.
func (node *Node) record(m Message) int {
	if m.Number == 0 {
		node.sim.messageCount++
		m.Number = node.sim.messageCount
	}
	if node.sim.Messages != nil {
		m.At, m.Node = node.sim.At(), node.Name
		node.sim.Messages(m)
	}
	return m.Number
}

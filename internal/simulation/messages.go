package simulation

import "time"

// MessageKind is the kind and direction of a message, as seen by a controller.
type MessageKind string

// Kinds of messages.
const (
	RequestSent      MessageKind = "asks"    // request to the state service, the cloud or a machine
	ResponseReceived MessageKind = "told"    // response to such a request, or the error
	RequestReceived  MessageKind = "asked"   // request from a user or a machine
	ResponseSent     MessageKind = "answers" // response to such a request
	GossipSent       MessageKind = "says"    // line of gossip to another controller
	GossipReceived   MessageKind = "hears"   // line of gossip from another controller
	Disconnected     MessageKind = "ended"   // connection to another controller closed or refused
)

// Message is a message at the time that a controller sends or receives it. One that is lost in the
// network is recorded only as sent.
type Message struct {
	At     time.Duration // since the start of the simulation
	Node   string        // the controller
	Kind   MessageKind
	Number int // sequence number; a response has that of its request
	// Party is the other side: "state", "watch", "cloud", the address of a machine or the name of a
	// controller. It is empty for RequestReceived, ResponseSent and GossipReceived.
	Party      string
	Method     string
	Target     string
	Timeout    time.Duration // of RequestSent
	Status     int
	RetryAfter int
	Body       []byte // must not be retained or modified
	Err        error  // of ResponseReceived, if there is no response
}

// record passes a message to Simulator.Messages and returns the message's number.
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

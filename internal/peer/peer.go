// Package peer is what controllers tell one another: JSON lines on peer_listen. No rule
// needs that a line arrives: whoever misses one decides less, or later, and an owner that
// cannot prove what the others told lets its workers' leases end (package cancellation).
// What a rule does need is that no line says what is not so: an answer counts only with
// the number of its question, and what is not a whole line of a known controller changes
// nothing.
package peer

import (
	"encoding/json"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/readconsistency"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Gossip is one line.
type Gossip struct {
	From           string `json:"from"`
	Epoch          uint64 `json:"epoch,omitempty"`    // the state service has got to here
	StoreReachable bool   `json:"state_ok,omitempty"` // the sender's state service answers
	// Isolated: the sender is outside the view and reaches no worker.
	Isolated bool `json:"blind,omitempty"`
	// MachinesHeardEpoch is the view under which the sender has heard all of its machines, or given
	// them up.
	MachinesHeardEpoch uint64 `json:"heard,omitempty"`
	// Unreached are machines whose workers came to the sender although they
	// were sent to their owner.
	Unreached []string `json:"unreached,omitempty"`

	// Acknowledged is what the sender has just told users of jobs. A line with it says nothing of
	// how far the sender has got: it comes too often to have everybody follow at once.
	Acknowledged *readconsistency.Acks `json:"told_of,omitempty"`

	cancellation.Message
}

// DecodeError is why a line is not taken in.
type DecodeError string

// Faults of lines.
const (
	Unreadable    DecodeError = "unreadable"      // not JSON, or cut short
	TooLong       DecodeError = "too long"        // beyond MaxPeerLine
	UnknownSender DecodeError = "unknown sender"  // no controller that the settings name
	InvalidFields DecodeError = "without meaning" // fields that no controller sends
)

// Encode writes a hint as a line.
func Encode(h Gossip) []byte {
	b, err := json.Marshal(h)
	if err != nil {
		return []byte("{}\n")
	}
	return append(b, '\n')
}

// Decode reads a line of one of the known controllers; the fault is empty if it is one.
func Decode(line []byte, known func(name string) bool) (Gossip, DecodeError) {
	var h Gossip
	switch {
	case len(line) > tuning.MaxPeerLine:
		return Gossip{}, TooLong
	case json.Unmarshal(line, &h) != nil:
		return Gossip{}, Unreadable
	case !known(h.From):
		return Gossip{}, UnknownSender
	case !h.Message.Valid(), !h.Acknowledged.Valid():
		return Gossip{}, InvalidFields
	}
	return h, ""
}

// Link sends lines to one peer. Lines that cannot be sent are dropped.
type Link struct {
	addr         string
	queue        chan []byte
	onDisconnect func()
}

// NewLink starts a link; it ends when stop is closed. ended is called, on a goroutine
// of its own, whenever a connection that stood is ended by the other side, and whenever
// one is refused: its process may have ended, or something between may refuse it.
func NewLink(addr string, stop <-chan struct{}, ended func()) *Link {
	l := &Link{addr: addr, queue: make(chan []byte, 16), onDisconnect: ended}
	go l.run(stop)
	return l
}

// awaitDisconnect reads from a connection, on which the other side says nothing, until it ends.
func (l *Link) awaitDisconnect(conn net.Conn) {
	var b [64]byte
	for {
		if _, err := conn.Read(b[:]); err != nil {
			if !errors.Is(err, net.ErrClosed) { // by this side
				l.onDisconnect()
			}
			return
		}
	}
}

// Send queues a line, dropping it when the queue is full.
func (l *Link) Send(line []byte) {
	select {
	case l.queue <- line:
	default:
	}
}

func (l *Link) run(stop <-chan struct{}) {
	var conn net.Conn
	for {
		select {
		case <-stop:
			return
		case line := <-l.queue:
			if conn == nil {
				c, err := net.DialTimeout("tcp4", l.addr, tuning.DialTimeout)
				if err != nil {
					if errors.Is(err, syscall.ECONNREFUSED) {
						l.onDisconnect()
					}
					continue
				}
				conn = c
				go l.awaitDisconnect(conn)
			}
			_ = conn.SetWriteDeadline(time.Now().Add(tuning.DialTimeout))
			if _, err := conn.Write(line); err != nil {
				conn.Close()
				conn = nil
			}
		}
	}
}

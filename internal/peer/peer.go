// Package peer is what controllers tell one another: JSON lines on
// peer_listen. They are hints; no rule needs them.
package peer

import (
	"encoding/json"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Hint is one line.
type Hint struct {
	From    string `json:"from"`
	Epoch   uint64 `json:"epoch,omitempty"`    // the state service has got to here
	StateOK bool   `json:"state_ok,omitempty"` // the sender's state service answers
	// Blind: the sender is outside the view and reaches no worker.
	Blind bool `json:"blind,omitempty"`
	// Heard is the view under which the sender has heard all of its machines, or given
	// them up.
	Heard uint64 `json:"heard,omitempty"`
	// Unreached are machines whose workers came to the sender although they
	// were sent to their owner.
	Unreached []string `json:"unreached,omitempty"`
}

// Encode writes a hint as a line.
func Encode(h Hint) []byte {
	b, err := json.Marshal(h)
	if err != nil {
		return []byte("{}\n")
	}
	return append(b, '\n')
}

// Decode reads a line; false if it is not a hint.
func Decode(line []byte) (Hint, bool) {
	var h Hint
	if json.Unmarshal(line, &h) != nil || h.From == "" {
		return Hint{}, false
	}
	return h, true
}

// Link sends lines to one peer. Lines that cannot be sent are dropped.
type Link struct {
	addr  string
	lines chan []byte
	ended func()
}

// NewLink starts a link; it ends when stop is closed. ended is called, on a goroutine
// of its own, whenever a connection that stood is ended by the other side, and whenever
// one is refused: its process may have ended, or something between may refuse it.
func NewLink(addr string, stop <-chan struct{}, ended func()) *Link {
	l := &Link{addr: addr, lines: make(chan []byte, 16), ended: ended}
	go l.run(stop)
	return l
}

// watch reads from a connection, on which the other side says nothing, until it ends.
func (l *Link) watch(conn net.Conn) {
	var b [64]byte
	for {
		if _, err := conn.Read(b[:]); err != nil {
			if !errors.Is(err, net.ErrClosed) { // by this side
				l.ended()
			}
			return
		}
	}
}

// Send queues a line, dropping it when the queue is full.
func (l *Link) Send(line []byte) {
	select {
	case l.lines <- line:
	default:
	}
}

func (l *Link) run(stop <-chan struct{}) {
	var conn net.Conn
	for {
		select {
		case <-stop:
			return
		case line := <-l.lines:
			if conn == nil {
				c, err := net.DialTimeout("tcp4", l.addr, tuning.DialTimeout)
				if err != nil {
					if errors.Is(err, syscall.ECONNREFUSED) {
						l.ended()
					}
					continue
				}
				conn = c
				go l.watch(conn)
			}
			_ = conn.SetWriteDeadline(time.Now().Add(tuning.DialTimeout))
			if _, err := conn.Write(line); err != nil {
				conn.Close()
				conn = nil
			}
		}
	}
}

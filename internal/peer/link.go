package peer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// linkQueue is how many lines wait for a connection; more are dropped, since gossip that is
// late is of no use.
const linkQueue = 16

// Link sends lines to one peer. Lines that cannot be sent are dropped.
type Link struct {
	address      string
	queue        chan []byte
	onDisconnect func()
}

// NewLink starts a link, which ends with ctx. onDisconnect is called, on a goroutine
// of the link, when the peer ends the connection or refuses one: its process may be gone.
func NewLink(ctx context.Context, address string, onDisconnect func()) *Link {
	l := &Link{address: address, queue: make(chan []byte, linkQueue), onDisconnect: onDisconnect}
	go l.run(ctx)
	return l
}

// Send queues a line, dropping it when the queue is full. It does not block.
func (l *Link) Send(line []byte) {
	select {
	case l.queue <- line:
	default:
	}
}

// run writes queued lines until ctx ends. A connection is made when there is a line to send,
// and given up at the first write that fails.
func (l *Link) run(ctx context.Context) {
	var conn net.Conn
	closeConn := func() {
		if conn != nil {
			_ = conn.Close() // nothing depends on the end of it
			conn = nil
		}
	}
	defer closeConn()
	for {
		select {
		case <-ctx.Done():
			return
		case line := <-l.queue:
			if conn == nil {
				if conn = l.dial(ctx); conn == nil {
					continue
				}
			}
			_ = conn.SetWriteDeadline(time.Now().Add(tuning.DialTimeout)) // a closed one fails at the write
			if _, err := conn.Write(line); err != nil {
				closeConn()
			}
		}
	}
}

// dial connects to the peer, nil if it does not answer.
func (l *Link) dial(ctx context.Context) net.Conn {
	dialer := net.Dialer{Timeout: tuning.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", l.address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.onDisconnect()
		}
		return nil
	}
	go l.awaitDisconnect(conn)
	return conn
}

// awaitDisconnect reads from a connection, on which the peer sends nothing, until it ends.
func (l *Link) awaitDisconnect(conn net.Conn) {
	var buffer [64]byte
	for {
		if _, err := conn.Read(buffer[:]); err != nil {
			if !errors.Is(err, net.ErrClosed) { // closed by this side
				l.onDisconnect()
			}
			return
		}
	}
}

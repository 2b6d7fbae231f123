package peer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// linkQueue is how many lines may wait for a connection. Further ones are dropped, since late
// gossip is of no use.
const linkQueue = 16

// Link sends lines to one peer. Lines that cannot be sent are dropped.
type Link struct {
	address      string
	queue        chan []byte
	onDisconnect func()
}

// NewLink starts a link, which runs until ctx is done. onDisconnect is called on a goroutine of the
// link when the peer closes or refuses a connection, which may mean that its process has ended.
func NewLink(ctx context.Context, address string, onDisconnect func()) *Link {
	l := &Link{address: address, queue: make(chan []byte, linkQueue), onDisconnect: onDisconnect}
	go l.run(ctx)
	return l
}

// Send queues a line without blocking. It drops the line if the queue is full.
func (l *Link) Send(line []byte) {
	select {
	case l.queue <- line:
	default:
	}
}

// run writes queued lines until ctx is done. It connects when there is a line to send, and closes
// the connection at the first failed write.
func (l *Link) run(ctx context.Context) {
	var conn net.Conn
	closeConn := func() {
		if conn != nil {
			_ = conn.Close() // an error would make no difference
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
			_ = conn.SetWriteDeadline(time.Now().Add(tuning.DialTimeout)) // on a closed connection the write fails, too
			if _, err := conn.Write(line); err != nil {
				closeConn()
			}
		}
	}
}

// dial connects to the peer. It returns nil if that fails.
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

// awaitDisconnect reads from a connection until it ends. The peer never sends anything on it.
func (l *Link) awaitDisconnect(conn net.Conn) {
	var buffer [64]byte
	for {
		if _, err := conn.Read(buffer[:]); err != nil {
			if !errors.Is(err, net.ErrClosed) { // not closed by this side
				l.onDisconnect()
			}
			return
		}
	}
}

package http1

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	gneterrors "github.com/panjf2000/gnet/v2/pkg/errors"
	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"github.com/panjf2000/gnet/v2/pkg/queue"
)

// readBufferSize is the number of bytes that are read from a connection at a time.
const readBufferSize = 64 << 10

// connHandler decides what is done with the connections of an event loop. Its methods are called on
// the loop's goroutine.
type connHandler interface {
	// opened reports whether an accepted connection is kept.
	opened(c *clientConn) bool
	// received handles bytes that arrived on c. They are valid until it returns.
	received(c *clientConn, in []byte)
	// closed is called once for every connection that was passed to opened.
	closed(c *clientConn)
}

// eventLoop accepts, reads, writes and closes the connections of some listeners on one goroutine,
// the one that calls run. Only post may be called from other goroutines.
type eventLoop struct {
	handler   connHandler
	poller    *netpoll.Poller
	listeners map[int]*socketListener // by file descriptor
	conns     map[int]*clientConn     // by file descriptor
	buffer    []byte                  // for the bytes that are read
	failure   error                   // why run ends, nil after stop

	// postMu guards pollerClosed. The poller is woken by a write to a file descriptor, whose number
	// may belong to something else once the poller is closed.
	postMu       sync.Mutex
	pollerClosed bool
}

// socketListener is an open listener.
type socketListener struct {
	net.Listener
	fd    int
	index int // in the addresses of openEventLoop
}

// openEventLoop listens on the addresses. After an error nothing is left open.
func openEventLoop(handler connHandler, addrs ...string) (*eventLoop, error) {
	sendPollerLogToSlog()
	poller, err := netpoll.OpenPoller()
	if err != nil {
		return nil, fmt.Errorf("open poller: %w", err)
	}
	l := &eventLoop{
		handler:   handler,
		poller:    poller,
		listeners: map[int]*socketListener{},
		conns:     map[int]*clientConn{},
		buffer:    make([]byte, readBufferSize),
	}
	for i, addr := range addrs {
		if err := l.listen(addr, i); err != nil {
			l.close()
			return nil, err
		}
	}
	return l, nil
}

// listen opens a listener. Its connections are accepted once the loop runs.
func (l *eventLoop) listen(addr string, index int) error {
	opened, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	ln := &socketListener{Listener: opened, index: index}
	if ln.fd, err = listenerDescriptor(opened); err == nil {
		err = l.poller.AddRead(&netpoll.PollAttachment{FD: ln.fd}, false)
	}
	if err != nil {
		_ = opened.Close()
		return fmt.Errorf("listen on %s: %w", addr, err)
	}
	l.listeners[ln.fd] = ln
	return nil
}

// listenerDescriptor returns the file descriptor of a listener, which is valid until the listener
// is closed.
func listenerDescriptor(ln net.Listener) (int, error) {
	socket, ok := ln.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	descriptor := 0
	err = raw.Control(func(fd uintptr) { descriptor = int(fd) })
	return descriptor, err
}

// run handles events until a task calls stop, after which it returns nil, or until accepting a
// connection fails.
func (l *eventLoop) run() error {
	err := l.poller.Polling(l.handleEvent)
	if errors.Is(err, gneterrors.ErrEngineShutdown) {
		return l.failure
	}
	return err
}

// stop is the task that ends run.
func (*eventLoop) stop() error { return gneterrors.ErrEngineShutdown }

// close closes all connections and listeners. Tasks that have not run yet are dropped. It is called
// after run has returned or in its place.
func (l *eventLoop) close() {
	for _, c := range l.conns {
		l.closeConn(c)
	}
	for _, ln := range l.listeners {
		_ = ln.Close()
	}
	l.postMu.Lock()
	l.pollerClosed = true
	l.postMu.Unlock()
	_ = l.poller.Close()
}

// post runs a task on the loop's goroutine, in the order of the calls. It may be called from any
// goroutine and never blocks. Once the loop is closed it does nothing.
func (l *eventLoop) post(task func() error) {
	l.postMu.Lock()
	defer l.postMu.Unlock()
	if l.pollerClosed {
		return
	}
	err := l.poller.Trigger(queue.HighPriority, func(any) error { return task() }, nil)
	if err != nil {
		slog.Error("event loop not woken", "error", err)
	}
}

// handleEvent handles an event on a listener or a connection. It returns an error only to end run.
func (l *eventLoop) handleEvent(fd int, event netpoll.IOEvent, _ netpoll.IOFlags) error {
	if ln := l.listeners[fd]; ln != nil {
		return l.accept(ln)
	}
	// A connection may have been closed by an event before this one.
	if c := l.conns[fd]; c != nil && netpoll.IsWriteEvent(event) {
		l.flush(c)
	}
	if c := l.conns[fd]; c != nil && event&^netpoll.WriteEvents != 0 {
		l.read(c)
	}
	return nil
}

// accept accepts one connection. Further ones cause further events.
func (l *eventLoop) accept(ln *socketListener) error {
	fd, _, err := syscall.Accept4(ln.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if isTransient(err) {
		return nil
	}
	if err != nil {
		l.failure = fmt.Errorf("accept on %s: %w", ln.Addr(), err)
		return l.stop()
	}
	c := newClientConn(l, fd, ln.index)
	if err := l.poller.AddRead(&c.attachment, false); err != nil {
		_ = syscall.Close(fd)
		l.failure = fmt.Errorf("poll connection to %s: %w", ln.Addr(), err)
		return l.stop()
	}
	l.conns[fd] = c
	if !l.handler.opened(c) {
		l.closeConn(c)
	}
	return nil
}

// isTransient reports whether a call on a socket failed only for now: it was interrupted, would
// block, or met a client that closed its connection before it was accepted.
func isTransient(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED)
}

// read passes the bytes that have arrived to the handler. It closes the connection if the client
// has.
func (l *eventLoop) read(c *clientConn) {
	n, err := syscall.Read(c.fd, l.buffer)
	switch {
	case isTransient(err):
	case err != nil || n == 0:
		l.closeConn(c)
	default:
		l.handler.received(c, l.buffer[:n])
	}
}

// flush writes as much of the connection's output as the socket takes, the rest once the socket is
// writable. It then closes the connection if that is due.
func (l *eventLoop) flush(c *clientConn) {
	n, err := syscall.Write(c.fd, c.out)
	if err != nil && !isTransient(err) {
		l.closeConn(c)
		return
	}
	c.wrote(max(n, 0), time.Now())
	switch {
	case len(c.out) > 0:
		err = l.awaitWritable(c, true)
	case c.closing:
		l.closeConn(c)
		return
	default:
		err = l.awaitWritable(c, false)
	}
	if err != nil {
		l.closeConn(c)
	}
}

// awaitWritable selects whether flush is called once the socket is writable.
func (l *eventLoop) awaitWritable(c *clientConn, wanted bool) error {
	if c.awaitsWritable == wanted {
		return nil
	}
	c.awaitsWritable = wanted
	if wanted {
		return l.poller.ModReadWrite(&c.attachment, false)
	}
	return l.poller.ModRead(&c.attachment, false)
}

// closeStale is the task that closes stale connections.
func (l *eventLoop) closeStale() error {
	now := time.Now()
	for _, c := range l.conns {
		if c.stale(now) {
			l.closeConn(c)
		}
	}
	return nil
}

// closeConn closes a connection, unless that has been done.
func (l *eventLoop) closeConn(c *clientConn) {
	if c.closed {
		return
	}
	c.closed = true
	delete(l.conns, c.fd)
	_ = syscall.Close(c.fd) // which also removes it from the poller
	l.handler.closed(c)
}

package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// waitTimeout is how long a test waits for an expected event.
const waitTimeout = 10 * time.Second

// listen opens a listening socket, which is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// startLink starts a link. It returns a channel that receives a value on each disconnect, and a
// function that ends the link.
func startLink(t *testing.T, address string) (*Link, <-chan struct{}, context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	disconnects := make(chan struct{}, 100)
	link := NewLink(ctx, address, func() { disconnects <- struct{}{} })
	return link, disconnects, cancel
}

// accept makes the link send a line, and accepts the connection on which the line arrives.
func accept(t *testing.T, listener net.Listener, link *Link) (net.Conn, *bufio.Reader) {
	t.Helper()
	link.Send([]byte("first\n"))
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	if line, err := reader.ReadString('\n'); err != nil || line != "first\n" {
		t.Fatalf("%q, %v", line, err)
	}
	return conn, reader
}

// awaitDisconnect fails the test unless the link reports a disconnect.
func awaitDisconnect(t *testing.T, disconnects <-chan struct{}) {
	t.Helper()
	select {
	case <-disconnects:
	case <-time.After(waitTimeout):
		t.Error("no disconnect was reported")
	}
}

func TestLinkReportsThatThePeerClosedTheConnection(t *testing.T) {
	listener := listen(t)
	link, disconnects, _ := startLink(t, listener.Addr().String())
	conn, _ := accept(t, listener, link)
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	awaitDisconnect(t, disconnects)
}

func TestLinkReportsThatThePeerRefusesConnections(t *testing.T) {
	listener := listen(t)
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	link, disconnects, _ := startLink(t, address)
	link.Send([]byte("line\n"))
	awaitDisconnect(t, disconnects)
}

func TestLinkClosesItsConnectionWhenItsContextIsDone(t *testing.T) {
	listener := listen(t)
	link, disconnects, cancel := startLink(t, listener.Addr().String())
	_, reader := accept(t, listener, link)
	cancel()
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read returned %v, want EOF", err)
	}
	if len(disconnects) > 0 {
		t.Error("a connection closed by the link was reported as a disconnect")
	}
}

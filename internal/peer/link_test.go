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

// patience is how long a test waits for what must happen.
const patience = 10 * time.Second

// listen is a peer's socket, closed with the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// startLink starts a link that ends with the returned function, and tells of disconnects.
func startLink(t *testing.T, address string) (*Link, <-chan struct{}, context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	disconnects := make(chan struct{}, 100)
	link := NewLink(ctx, address, func() { disconnects <- struct{}{} })
	return link, disconnects, cancel
}

// accept is the link's connection, on which it has sent a line.
func accept(t *testing.T, listener net.Listener, link *Link) (net.Conn, *bufio.Reader) {
	t.Helper()
	link.Send([]byte("first\n"))
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	if line, err := reader.ReadString('\n'); err != nil || line != "first\n" {
		t.Fatalf("%q, %v", line, err)
	}
	return conn, reader
}

// awaitDisconnect fails unless the link tells of a disconnect.
func awaitDisconnect(t *testing.T, disconnects <-chan struct{}) {
	t.Helper()
	select {
	case <-disconnects:
	case <-time.After(patience):
		t.Error("no disconnect was told")
	}
}

func TestLinkTellsThatThePeerEndedTheConnection(t *testing.T) {
	listener := listen(t)
	link, disconnects, _ := startLink(t, listener.Addr().String())
	conn, _ := accept(t, listener, link)
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	awaitDisconnect(t, disconnects)
}

func TestLinkTellsThatThePeerRefusesConnections(t *testing.T) {
	listener := listen(t)
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	link, disconnects, _ := startLink(t, address)
	link.Send([]byte("line\n"))
	awaitDisconnect(t, disconnects)
}

func TestLinkClosesItsConnectionWithItsContext(t *testing.T) {
	listener := listen(t)
	link, disconnects, cancel := startLink(t, listener.Addr().String())
	_, reader := accept(t, listener, link)
	cancel()
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read %v, want the end of the connection", err)
	}
	if len(disconnects) > 0 {
		t.Error("its own end is told as the peer's")
	}
}

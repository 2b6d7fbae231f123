package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// lives is the number of times that a test starts and stops a server. A server that is stopped at
// an unfortunate moment fails only in some of them.
const lives = 20

// newServer returns a server on a free address that is not running yet.
func newServer(t *testing.T) *Server {
	t.Helper()
	apiAddr := freeAddr(t)
	peerAddr := freeAddr(t)
	for peerAddr == apiAddr { // a free port may be returned twice
		peerAddr = freeAddr(t)
	}
	return &Server{
		APIAddr:  apiAddr,
		PeerAddr: peerAddr,
		MaxConns: 100,
		Handle: func(m *Message, respond func(Reply)) {
			respond(Reply{Status: 200, Body: m.Body})
		},
		HandlePeerLine: func([]byte) {},
	}
}

// start runs the server. The returned channel is closed when Run has returned.
func start(s *Server, stop <-chan struct{}) <-chan struct{} {
	ended := make(chan struct{})
	go func() { s.Run(stop); close(ended) }()
	return ended
}

// openDescriptors returns the number of file descriptors that this process has open.
func openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// checkNothingIsLeft checks that a server that has ended has left no goroutine, and that both of
// its addresses can be listened on again.
func checkNothingIsLeft(t *testing.T, s *Server) {
	t.Helper()
	// A goroutine is listed for a moment after its last statement.
	for end := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		stacks := serverStacks()
		if stacks == "" {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("goroutines still run after the end:\n%s", stacks)
		}
	}
	for _, addr := range []string{s.APIAddr, s.PeerAddr} {
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			t.Fatalf("the address is still in use after the end: %v", err)
		}
		_ = l.Close()
	}
}

// serverStacks returns the stacks of the goroutines that run a server, "" if there are none.
func serverStacks() string {
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	for _, name := range []string{"http1.(*Server).", "http1.supervise"} {
		if bytes.Contains(stacks, []byte(name)) {
			return string(stacks)
		}
	}
	return ""
}

// A server must end whenever it is stopped, also before its event loop waits for events, and leave
// no goroutine, descriptor or listener behind.
func TestServerEndsWhenStoppedAtAnyMoment(t *testing.T) {
	for name, live := range map[string]func(t *testing.T, s *Server, stop chan struct{}) <-chan struct{}{
		"before Run": func(_ *testing.T, s *Server, stop chan struct{}) <-chan struct{} {
			close(stop)
			return start(s, stop)
		},
		"while Listening is called": func(_ *testing.T, s *Server, stop chan struct{}) <-chan struct{} {
			s.Listening = func() { close(stop) }
			return start(s, stop)
		},
		"with a client waiting as it listens": func(t *testing.T, s *Server, stop chan struct{}) <-chan struct{} {
			t.Helper()
			s.Listening = func() { dial(t, s.APIAddr); close(stop) }
			return start(s, stop)
		},
		"just after Listening": func(t *testing.T, s *Server, stop chan struct{}) <-chan struct{} {
			t.Helper()
			listening := make(chan struct{}, 1)
			s.Listening = func() { listening <- struct{}{} }
			ended := start(s, stop)
			await(t, listening, "the listener")
			close(stop)
			return ended
		},
		"at its first request": func(t *testing.T, s *Server, stop chan struct{}) <-chan struct{} {
			t.Helper()
			listening := make(chan struct{}, 1)
			s.Listening = func() { listening <- struct{}{} }
			s.Handle = func(_ *Message, respond func(Reply)) { close(stop); respond(Reply{Status: 200}) }
			ended := start(s, stop)
			await(t, listening, "the listener")
			send(dial(t, s.APIAddr), "GET / HTTP/1.1\r\n\r\n")
			return ended
		},
	} {
		t.Run(name, func(t *testing.T) {
			for range lives {
				s := newServer(t)
				await(t, live(t, s, make(chan struct{})), "the server to end")
				checkNothingIsLeft(t, s)
			}
		})
	}
}

// A server that is stopped must close the connections of its clients and all descriptors of its own.
func TestStoppedServerClosesItsDescriptors(t *testing.T) {
	s := newServer(t)
	for range lives {
		before := openDescriptors(t)
		stop := make(chan struct{})
		ended := start(s, stop)
		checkResponds(t, s.APIAddr)
		conn, err := net.Dial("tcp4", s.APIAddr)
		if err != nil {
			t.Fatal(err)
		}
		send(conn, "GET / HTTP/1.1\r\n\r\n")
		receive(t, conn)
		close(stop)
		await(t, ended, "the server to end")
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("a client's connection is open after the end: %v", err)
		}
		_ = conn.Close()
		if after := openDescriptors(t); after != before {
			t.Fatalf("%d descriptors are open after the end, %d before the start", after, before)
		}
	}
}

// Two processes must not share a port: each would receive a part of the requests.
func TestPortIsNotShared(t *testing.T) {
	s, _ := serve(t, 10)
	l, err := net.Listen("tcp4", s.APIAddr)
	if err == nil {
		_ = l.Close()
	}
	if !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("a second listener on the port: %v", err)
	}
	reuse := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, 0xf /* SO_REUSEPORT */, 1)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err = reuse.Listen(t.Context(), "tcp4", s.APIAddr)
	if err == nil {
		_ = l.Close()
	}
	if !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("a second listener with SO_REUSEPORT on the port: %v", err)
	}
}

// While one of its addresses is in use, a server must not keep the other one open, or it could not
// open that itself when it tries again.
func TestServerWaitsForAnAddressInUse(t *testing.T) {
	s := newServer(t)
	other, err := net.Listen("tcp4", s.PeerAddr)
	if err != nil {
		t.Fatal(err)
	}
	listening := make(chan struct{}, 100)
	s.Listening = func() { listening <- struct{}{} }
	stop := make(chan struct{})
	ended := start(s, stop)
	defer func() { close(stop); await(t, ended, "the server to end") }()
	for end := time.Now().Add(waitTimeout); s.Restarts.Load() < 3; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the server does not try again")
		}
	}
	select {
	case <-listening:
		t.Fatal("the server listens though an address is in use")
	default:
	}
	_ = other.Close()
	await(t, listening, "the listener")
	checkResponds(t, s.APIAddr)
}

// A response that is ready only after the server has ended must not be written to a descriptor
// whose number has been reused since then.
func TestLateResponseIsDropped(t *testing.T) {
	pending := make(chan func(Reply), 1)
	s := newServer(t)
	s.Handle = func(_ *Message, respond func(Reply)) { pending <- respond }
	stop := make(chan struct{})
	ended := start(s, stop)
	var conn net.Conn
	for end := time.Now().Add(waitTimeout); ; {
		var err error
		if conn, err = net.Dial("tcp4", s.APIAddr); err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	send(conn, "GET / HTTP/1.1\r\n\r\n")
	respond := await(t, pending, "the request")
	close(stop)
	await(t, ended, "the server to end")
	_ = conn.Close()
	pipes := openPipes(t, 20)
	respond(Reply{Status: 200, Body: []byte("late")})
	for _, p := range pipes {
		if n, err := syscall.Read(p.read, make([]byte, 100)); !errors.Is(err, syscall.EAGAIN) {
			t.Errorf("%d bytes of the late response went to a reused descriptor, %v", n, err)
		}
	}
}

// pipe is a pipe whose read end does not block.
type pipe struct{ read, write int }

// openPipes opens pipes until the test ends. They take the lowest free descriptors.
func openPipes(t *testing.T, count int) []pipe {
	t.Helper()
	pipes := make([]pipe, count)
	for i := range pipes {
		var ends [2]int
		if err := syscall.Pipe2(ends[:], syscall.O_NONBLOCK|syscall.O_CLOEXEC); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = syscall.Close(ends[0]); _ = syscall.Close(ends[1]) })
		pipes[i] = pipe{read: ends[0], write: ends[1]}
	}
	return pipes
}

// A response that does not fit into the socket's buffers must arrive whole at a client that reads
// it slowly.
func TestSlowReaderReceivesTheWholeResponse(t *testing.T) {
	body := []byte(strings.Repeat("0123456789", 1<<20))
	s, _ := serve(t, 10, func(s *Server) {
		s.Handle = func(_ *Message, respond func(Reply)) { respond(Reply{Status: 200, Body: body}) }
	})
	conn := dial(t, s.APIAddr)
	send(conn, "GET / HTTP/1.1\r\n\r\n")
	var received []byte
	buf := make([]byte, 1<<18)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		received = append(received, buf[:n]...)
		m, _, err := Parse(Response, received, len(body))
		if err != nil {
			t.Fatal(err)
		}
		if m != nil {
			if !bytes.Equal(m.Body, body) {
				t.Error("the response arrived changed")
			}
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestServerReopensAListenerThatEndsAtOnce runs servers in a process that has no descriptors left
// when their listeners open, so that accepting the first clients fails at once. Each server must
// open its listener again.
func TestServerReopensAListenerThatEndsAtOnce(t *testing.T) {
	if os.Getenv("NO_SOCKETS") != "" {
		serveWithoutSockets(t)
		return
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0],
		"-test.run=^TestServerReopensAListenerThatEndsAtOnce$")
	cmd.Env = append(os.Environ(), "NO_SOCKETS=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	reopened := 0
	var rest strings.Builder
	for lines := bufio.NewScanner(out); lines.Scan(); {
		if lines.Text() == "reopened" {
			reopened++
		} else {
			rest.WriteString(lines.Text() + "\n")
		}
	}
	if err := cmd.Wait(); err != nil || reopened != lives {
		t.Fatalf("%d of %d listeners were reopened, %v:\n%s", reopened, lives, err, rest.String())
	}
}

// serveWithoutSockets runs in the servers' process, with a limit of descriptors that it uses up.
func serveWithoutSockets(t *testing.T) {
	t.Helper()
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 60, Max: 60}); err != nil {
		t.Fatal(err)
	}
	for range lives {
		s := newServer(t)
		listening := make(chan struct{}, 100)
		clients := make(chan *hoard, 1)
		s.Listening = func() {
			if s.Restarts.Load() == 0 {
				clients <- useUpDescriptors(t, s.APIAddr)
			}
			listening <- struct{}{}
		}
		stop := make(chan struct{})
		ended := start(s, stop)
		await(t, listening, "the listener")
		h := <-clients
		h.awaitClose(t)
		h.release()
		await(t, listening, "the listener to be reopened")
		checkResponds(t, s.APIAddr)
		close(stop)
		await(t, ended, "the server to end")
		checkNothingIsLeft(t, s)
		fmt.Println("reopened")
	}
}

// hoard holds all descriptors that a process may open but sparePerLoop: clients of a server, and
// copies of a descriptor.
type hoard struct {
	clients []net.Conn
	copies  []int
}

// sparePerLoop is the number of descriptors that an event loop may still open after Listening.
const sparePerLoop = 2

// useUpDescriptors opens connections to addr and uses up all other descriptors. The connections are
// more than the server can accept then.
func useUpDescriptors(t *testing.T, addr string) *hoard {
	t.Helper()
	h := &hoard{}
	for range 2 * sparePerLoop {
		h.clients = append(h.clients, dial(t, addr))
	}
	for {
		fd, err := syscall.Dup(int(os.Stderr.Fd()))
		if err != nil {
			break
		}
		h.copies = append(h.copies, fd)
	}
	for range sparePerLoop {
		_ = syscall.Close(h.copies[0])
		h.copies = h.copies[1:]
	}
	return h
}

// awaitClose waits until the server has closed all of the connections.
func (h *hoard) awaitClose(t *testing.T) {
	t.Helper()
	for _, c := range h.clients {
		if _, err := io.ReadAll(c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("timed out waiting for the listener to end")
		}
	}
}

// release closes all descriptors of the hoard.
func (h *hoard) release() {
	for _, c := range h.clients {
		_ = c.Close()
	}
	for _, fd := range h.copies {
		_ = syscall.Close(fd)
	}
}

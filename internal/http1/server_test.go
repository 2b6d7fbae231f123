package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// waitTimeout is the limit on each wait for a socket or a process. It is long enough not to affect
// the result on a busy machine: on an idle one the events arrive at once, and only events that
// never arrive run into it.
const waitTimeout = 2 * time.Minute

// await receives one value from c, and fails the test after waitTimeout.
func await[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(waitTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
	return v
}

// dial opens a connection whose reads and writes fail after waitTimeout.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp4", addr, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	return c
}

// send writes text to a connection. It ignores errors: if the server has closed the connection
// already, the test sees that when it reads.
func send(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

// receive reads one response.
func receive(t *testing.T, c net.Conn) *Message {
	t.Helper()
	buf := make([]byte, 4096)
	n, err := c.Read(buf)
	if err != nil {
		t.Fatal(err)
	}
	m, _, err := Parse(Response, buf[:n], 1<<16)
	if err != nil || m == nil {
		t.Fatalf("%q is parsed as %+v, %v", buf[:n], m, err)
	}
	return m
}

// freeAddr returns a loopback address that is not in use.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// serve runs a server until the test ends. The returned channel receives a value each time the
// server has opened its listener again.
func serve(t *testing.T, conns int, options ...func(*Server)) (*Server, <-chan struct{}) {
	t.Helper()
	listening := make(chan struct{}, 100)
	s := &Server{
		APIAddr:   freeAddr(t),
		MaxConns:  conns,
		Listening: func() { listening <- struct{}{} },
		Handle: func(m *Message, respond func(Reply)) {
			if m.Target == "/later" {
				go respond(Reply{Status: 201, Body: m.Body})
				return
			}
			respond(Reply{Status: 200, Body: m.Body})
		},
	}
	for _, option := range options {
		option(s)
	}
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() { s.Run(stop); close(ended) }()
	t.Cleanup(func() { close(stop); await(t, ended, "the server to stop") })
	await(t, listening, "the listener")
	return s, listening
}

// request repeats a request until there is a response: on a busy machine a connection may not be
// opened within tuning.DialTimeout, and the client then gives up.
func request(t *testing.T, c *Client, method, target string, body []byte) *Message {
	t.Helper()
	for end := time.Now().Add(waitTimeout); ; {
		m, err := c.Do(method, target, body, waitTimeout)
		if err == nil {
			return m
		}
		if time.Now().After(end) {
			t.Fatalf("%s: no response: %v", target, err)
		}
	}
}

// checkResponds checks that the server responds to a request.
func checkResponds(t *testing.T, addr string) {
	t.Helper()
	if m := request(t, &Client{Addr: addr, MaxBody: 1 << 16}, "GET", "/", nil); m.Status != 200 {
		t.Fatalf("status %d", m.Status)
	}
}

func TestServerResponds(t *testing.T) {
	s, _ := serve(t, 100)
	c := &Client{Addr: s.APIAddr, MaxIdle: 1, MaxBody: 1 << 17}
	for _, target := range []string{"/now", "/later", "/now"} {
		body := []byte(strings.Repeat("x", 60000))
		if m := request(t, c, "POST", target, body); len(m.Body) != len(body) {
			t.Fatalf("%s: %d bytes", target, len(m.Body))
		}
	}
	stacks := make([]byte, 1<<20)
	if stacks = stacks[:runtime.Stack(stacks, true)]; bytes.Contains(stacks, []byte("evio.loopTicker")) {
		t.Error("evio's tick is in use; its goroutine outlives the listener and writes to reused file descriptors")
	}
}

func TestServerSurvivesInvalidRequests(t *testing.T) {
	s, _ := serve(t, 100)
	for _, text := range []string{
		"\x00\x01\x02\n",
		"GET / HTTP/1.1\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc",
		strings.Repeat("A", 20000),
	} {
		conn := dial(t, s.APIAddr)
		send(conn, text)
		_ = conn.Close()
	}
	// The protocol forbids pipelining: only the first request gets a response, then the connection
	// is closed.
	conn := dial(t, s.APIAddr)
	send(conn, "GET /later HTTP/1.1\r\n\r\nGET /now HTTP/1.1\r\n\r\n")
	all, _ := io.ReadAll(bufio.NewReader(conn))
	if n := strings.Count(string(all), "HTTP/1.1 "); n != 1 {
		t.Errorf("%d responses to two pipelined requests", n)
	}
	checkResponds(t, s.APIAddr)
}

// Users who keep many connections open must not use up the connections that workers need.
func TestUserConnectionsLeaveRoomForWorkers(t *testing.T) {
	s, _ := serve(t, 100, func(s *Server) {
		s.IsUserRequest = func(m *Message) bool { return m.Target == "/guest" }
		s.MaxUserConns = 2
	})
	closes := func(target string) bool {
		c := dial(t, s.APIAddr)
		send(c, "GET "+target+" HTTP/1.1\r\n\r\n")
		m := receive(t, c)
		if m.Status != 200 {
			t.Fatalf("%s: unexpected response %+v", target, m)
		}
		return m.Close
	}
	for i, target := range []string{"/guest", "/guest", "/worker", "/guest", "/worker"} {
		if got, want := closes(target), i == 3; got != want {
			t.Errorf("request %d, %s: connection closed: %v", i, target, got)
		}
	}
}

// A controller that runs alone serves more machines than it may have connections. While nearly all
// connections are open, each must be closed after its response.
func TestNearlyFullServerClosesConnections(t *testing.T) {
	const maxConns = 10
	s, _ := serve(t, maxConns)
	kept := int(math.Floor(maxConns * tuning.KeepAliveShare))
	for i := range kept + 1 {
		c := dial(t, s.APIAddr)
		send(c, "GET /worker HTTP/1.1\r\n\r\n")
		if m := receive(t, c); m.Close != (i == kept) {
			t.Fatalf("connection %d: %+v", i+1, m)
		}
	}
}

// Machines that the cloud takes away do not close their connections, which must not count towards
// the limit forever.
func TestStaleConnections(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(s int) time.Time { return now.Add(-time.Duration(s) * time.Second) }
	for name, c := range map[string]struct {
		conn *clientConn
		want bool
	}{
		"fresh":                     {&clientConn{requestSince: ago(1), lastActive: ago(1)}, false},
		"between heartbeats":        {&clientConn{requestSince: ago(30), lastActive: ago(30)}, false},
		"gone":                      {&clientConn{requestSince: ago(100), lastActive: ago(100)}, true},
		"incomplete request":        {&clientConn{in: []byte("GET"), requestSince: ago(11), lastActive: ago(1)}, true},
		"request in progress":       {&clientConn{busy: true, requestSince: ago(100), lastActive: ago(100)}, false},
		"already closing":           {&clientConn{closing: true, requestSince: ago(100), lastActive: ago(100)}, false},
		"incomplete request, fresh": {&clientConn{in: []byte("GET"), requestSince: ago(1), lastActive: ago(1)}, false},
		"answered after a while":    {&clientConn{requestSince: ago(100), lastActive: ago(2)}, false},
	} {
		if got := c.conn.stale(now); got != c.want {
			t.Errorf("%s: stale %v", name, got)
		}
	}
}

func TestServerClosesConnectionsBeyondItsLimit(t *testing.T) {
	s, _ := serve(t, 20)
	for range 17 { // as many as stay open after a response (tuning.KeepAliveShare)
		c := dial(t, s.APIAddr)
		send(c, "GET / HTTP/1.1\r\n\r\n")
		if _, err := c.Read(make([]byte, 10)); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		dial(t, s.APIAddr)
	}
	if n, err := dial(t, s.APIAddr).Read(make([]byte, 10)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("connection beyond the limit: read %d bytes, %v", n, err)
	}
	if s.Restarts.Load() != 0 {
		t.Error("the listener was reopened")
	}
}

// TestServerSurvivesRunningOutOfSockets runs a server in a process that may open only few file
// descriptors. Further connections end evio's accept loop with EMFILE, after which the server must
// open its listener again.
func TestServerSurvivesRunningOutOfSockets(t *testing.T) {
	if os.Getenv("FEW_SOCKETS") != "" {
		serveWithFewSockets(t)
		return
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestServerSurvivesRunningOutOfSockets$")
	cmd.Env = append(os.Environ(), "FEW_SOCKETS=1")
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := make(chan string, 100)
	go func() {
		defer close(lines)
		for s := bufio.NewScanner(out); s.Scan(); {
			lines <- s.Text()
		}
	}()
	addr := await(t, lines, "the address")
	if line := exhaustSockets(t, addr, lines); line != "back" {
		t.Fatalf("the listener was not reopened: %q", line)
	}
	checkResponds(t, addr)
	_ = in.Close()
	for range lines {
	}
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
}

// exhaustSockets opens connections to addr until the listener has ended, then closes them all. It
// returns the next line that the server's process prints.
func exhaustSockets(t *testing.T, addr string, lines <-chan string) string {
	t.Helper()
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for end := time.Now().Add(waitTimeout); ; {
		select {
		case line := <-lines:
			return line
		default:
		}
		// A timeout is not conclusive: a busy machine is slow, and a listener that is just closing
		// may leave a connection attempt pending. Only a refused connection shows that the listener
		// is closed, so dial until then.
		c, err := net.DialTimeout("tcp4", addr, 2*time.Second)
		switch {
		case err == nil:
			conns = append(conns, c)
		case errors.Is(err, syscall.ECONNREFUSED):
			return await(t, lines, "the listener to be reopened")
		}
		if len(conns) > 1000 || time.Now().After(end) {
			t.Fatalf("the accept loop did not end with %d connections open", len(conns))
		}
	}
}

// serveWithFewSockets runs in the server's process. It serves until stdin is closed.
func serveWithFewSockets(t *testing.T) {
	t.Helper()
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 40, Max: 40}); err != nil {
		t.Fatal(err)
	}
	s, listening := serve(t, 100000)
	fmt.Println(s.APIAddr)
	await(t, listening, "the listener to be reopened")
	fmt.Println("back")
	_, _ = io.ReadAll(os.Stdin)
}

func TestPeerLinesAreHandedOnWhole(t *testing.T) {
	got := make(chan string, 10)
	s, _ := serve(t, 10, func(s *Server) {
		s.PeerAddr = freeAddr(t)
		s.HandlePeerLine = func(b []byte) { got <- string(b) }
	})
	conn := dial(t, s.PeerAddr)
	send(conn, "{\"a\":1}\n{\"b\"")
	send(conn, ":2}\n")
	for _, want := range []string{`{"a":1}`, `{"b":2}`} {
		if line := await(t, got, want); line != want {
			t.Errorf("got %s, want %s", line, want)
		}
	}
}

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

// patience bounds each wait on a socket or a process. It decides no verdict: what
// is waited for comes at once on an idle machine, and beside busy processors well
// within it; only what never comes runs into it.
const patience = 2 * time.Minute

// await waits for one event, and for no longer than patience.
func await[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		t.Fatalf("waited in vain for %s", what)
	}
	return v
}

// dial opens a connection on which nothing waits for longer than patience.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp4", addr, patience)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return c
}

// send writes text to a connection. The server may have closed it already: what the test
// then reads says so.
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
		t.Fatalf("%q: %+v %v", buf[:n], m, err)
	}
	return m
}

// freeAddr is a loopback address that nobody listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// serve runs a server; the channel receives whenever its listener has been set up.
func serve(t *testing.T, conns int, with ...func(*Server)) (*Server, <-chan struct{}) {
	t.Helper()
	up := make(chan struct{}, 100)
	s := &Server{
		APIAddr:   freeAddr(t),
		MaxConns:  conns,
		Listening: func() { up <- struct{}{} },
		Handle: func(m *Message, respond func(Reply)) {
			if m.Target == "/later" {
				go respond(Reply{Status: 201, Body: m.Body})
				return
			}
			respond(Reply{Status: 200, Body: m.Body})
		},
	}
	for _, f := range with {
		f(s)
	}
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() { s.Run(stop); close(ended) }()
	t.Cleanup(func() { close(stop); await(t, ended, "the server's end") })
	await(t, up, "the listener")
	return s, up
}

// request sends a request until it is answered: a client gives up a connection that
// a busy machine does not open within tuning.DialTimeout.
func request(t *testing.T, c *Client, method, target string, body []byte) *Message {
	t.Helper()
	for end := time.Now().Add(patience); ; {
		m, err := c.Do(method, target, body, patience)
		if err == nil {
			return m
		}
		if time.Now().After(end) {
			t.Fatalf("%s: no answer: %v", target, err)
		}
	}
}

// checkAnswers checks that the server answers.
func checkAnswers(t *testing.T, addr string) {
	t.Helper()
	if m := request(t, &Client{Addr: addr, MaxBody: 1 << 16}, "GET", "/", nil); m.Status != 200 {
		t.Fatalf("answered %d", m.Status)
	}
}

func TestServerAnswers(t *testing.T) {
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
		t.Error("evio's tick outlives the listener and writes to descriptors that are not its own")
	}
}

func TestServerOutlivesBadClients(t *testing.T) {
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
	// Pipelining is against the protocol: the first is answered, then the
	// connection ends.
	conn := dial(t, s.APIAddr)
	send(conn, "GET /later HTTP/1.1\r\n\r\nGET /now HTTP/1.1\r\n\r\n")
	all, _ := io.ReadAll(bufio.NewReader(conn))
	if n := strings.Count(string(all), "HTTP/1.1 "); n != 1 {
		t.Errorf("%d answers to a pipelined pair", n)
	}
	checkAnswers(t, s.APIAddr)
}

// Users who keep their connections open must leave room for workers.
func TestGuestsLeaveConnectionsToWorkers(t *testing.T) {
	s, _ := serve(t, 100, func(s *Server) {
		s.IsUserRequest = func(m *Message) bool { return m.Target == "/guest" }
		s.MaxUserConns = 2
	})
	closes := func(target string) bool {
		c := dial(t, s.APIAddr)
		send(c, "GET "+target+" HTTP/1.1\r\n\r\n")
		m := receive(t, c)
		if m.Status != 200 {
			t.Fatalf("%s: %+v", target, m)
		}
		return m.Close
	}
	for i, target := range []string{"/guest", "/guest", "/worker", "/guest", "/worker"} {
		if got, want := closes(target), i == 3; got != want {
			t.Errorf("%d, %s: closes %v", i, target, got)
		}
	}
}

// A controller that stands alone has more machines than connections: while nearly all
// are open they must not be kept.
func TestCrowdedServerKeepsNoConnection(t *testing.T) {
	const maxConns = 10
	s, _ := serve(t, maxConns)
	kept := int(math.Floor(maxConns * tuning.CrowdedShare))
	for i := range kept + 1 {
		c := dial(t, s.APIAddr)
		send(c, "GET /worker HTTP/1.1\r\n\r\n")
		if m := receive(t, c); m.Close != (i == kept) {
			t.Fatalf("connection %d: %+v", i+1, m)
		}
	}
}

// Machines that are taken away leave their connections open: they must not use
// up the limit for good.
func TestStaleConnectionsAreFound(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(s int) time.Time { return now.Add(-time.Duration(s) * time.Second) }
	for name, c := range map[string]struct {
		conn *clientConn
		want bool
	}{
		"fresh":                  {&clientConn{requestSince: ago(1), lastActive: ago(1)}, false},
		"between heartbeats":     {&clientConn{requestSince: ago(30), lastActive: ago(30)}, false},
		"gone":                   {&clientConn{requestSince: ago(100), lastActive: ago(100)}, true},
		"half a request":         {&clientConn{in: []byte("GET"), requestSince: ago(11), lastActive: ago(1)}, true},
		"a request in progress":  {&clientConn{busy: true, requestSince: ago(100), lastActive: ago(100)}, false},
		"closing already":        {&clientConn{closing: true, requestSince: ago(100), lastActive: ago(100)}, false},
		"half a request, fresh":  {&clientConn{in: []byte("GET"), requestSince: ago(1), lastActive: ago(1)}, false},
		"answered after a while": {&clientConn{requestSince: ago(100), lastActive: ago(2)}, false},
	} {
		if got := c.conn.stale(now); got != c.want {
			t.Errorf("%s: stale %v", name, got)
		}
	}
}

func TestServerClosesConnectionsBeyondItsLimit(t *testing.T) {
	s, _ := serve(t, 20)
	for range 17 { // as many as stay open after an answer (CrowdedShare)
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
		t.Errorf("a connection beyond the limit got %d bytes: %v", n, err)
	}
	if s.Restarts.Load() != 0 {
		t.Error("the listener ended")
	}
}

// TestServerSurvivesRunningOutOfSockets runs a server in a process that may
// open few descriptors. Connections beyond them end evio's accept loop with
// EMFILE; the server must set itself up again.
func TestServerSurvivesRunningOutOfSockets(t *testing.T) {
	if os.Getenv("FEW_SOCKETS") != "" {
		fewSockets(t)
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
		t.Fatalf("the listener is not back: %q", line)
	}
	checkAnswers(t, addr)
	_ = in.Close()
	for range lines {
	}
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
}

// exhaustSockets opens connections to addr until the listener has ended, and closes them
// all. It returns the next line that the server's process prints.
func exhaustSockets(t *testing.T, addr string, lines <-chan string) string {
	t.Helper()
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for end := time.Now().Add(patience); ; {
		select {
		case line := <-lines:
			return line
		default:
		}
		// An attempt that times out says nothing: a busy machine is slow to answer,
		// and a listener that has just gone down may leave it hanging. Only a
		// refused one says that the listener is down, so dialling goes on until then.
		c, err := net.DialTimeout("tcp4", addr, 2*time.Second)
		switch {
		case err == nil:
			conns = append(conns, c)
		case errors.Is(err, syscall.ECONNREFUSED):
			return await(t, lines, "the listener to be back")
		}
		if len(conns) > 1000 || time.Now().After(end) {
			t.Fatalf("the accept loop never ended, %d connections", len(conns))
		}
	}
}

// fewSockets is the server's process.
func fewSockets(t *testing.T) {
	t.Helper()
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 40, Max: 40}); err != nil {
		t.Fatal(err)
	}
	s, up := serve(t, 100000)
	fmt.Println(s.APIAddr)
	await(t, up, "the listener to be set up again")
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
			t.Errorf("%s, not %s", line, want)
		}
	}
}

package wire

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// freeAddr is a loopback address that nobody listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// serve runs a server; the channel tells of every set-up of its listener.
func serve(t *testing.T, conns int, with ...func(*Server)) (*Server, <-chan struct{}) {
	t.Helper()
	up := make(chan struct{}, 100)
	s := &Server{Front: freeAddr(t), MaxConns: conns, Listening: func() { up <- struct{}{} }, Handle: func(m *Message, respond func(Reply)) {
		if m.Target == "/later" {
			go respond(Reply{Status: 201, Body: m.Body})
			return
		}
		respond(Reply{Status: 200, Body: m.Body})
	}}
	for _, f := range with {
		f(s)
	}
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() { s.Run(stop); close(ended) }()
	t.Cleanup(func() { close(stop); <-ended })
	<-up
	return s, up
}

// answers checks that the server answers.
func answers(t *testing.T, addr string) {
	t.Helper()
	c := &Client{Addr: addr, MaxBody: 1 << 16}
	m, err := c.Do("GET", "/", nil, time.Minute)
	if err != nil || m.Status != 200 {
		t.Fatalf("no answer: %v", err)
	}
}

func TestServerAnswers(t *testing.T) {
	s, _ := serve(t, 100)
	c := &Client{Addr: s.Front, MaxIdle: 1, MaxBody: 1 << 17}
	for _, target := range []string{"/now", "/later", "/now"} {
		body := []byte(strings.Repeat("x", 60000))
		m, err := c.Do("POST", target, body, 5*time.Second)
		if err != nil || len(m.Body) != len(body) {
			t.Fatalf("%s: %v", target, err)
		}
	}
}

func TestServerOutlivesBadClients(t *testing.T) {
	s, _ := serve(t, 100)
	for _, text := range []string{
		"\x00\x01\x02\n", "GET / HTTP/1.1\r\n", "POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", strings.Repeat("A", 20000),
	} {
		conn, err := net.Dial("tcp4", s.Front)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(conn, text)
		conn.Close()
	}
	// Pipelining is against the protocol: the first is answered, then the
	// connection ends.
	conn, err := net.Dial("tcp4", s.Front)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "GET /later HTTP/1.1\r\n\r\nGET /now HTTP/1.1\r\n\r\n")
	all, _ := io.ReadAll(bufio.NewReader(conn))
	if n := strings.Count(string(all), "HTTP/1.1 "); n != 1 {
		t.Errorf("%d answers to a pipelined pair", n)
	}
	answers(t, s.Front)
}

// Users who keep their connections open must leave room for workers.
func TestGuestsLeaveRoom(t *testing.T) {
	s, _ := serve(t, 100, func(s *Server) {
		s.IsGuest = func(m *Message) bool { return m.Target == "/guest" }
		s.MaxGuests = 2
	})
	ask := func(target string) (closes bool) {
		c, err := net.Dial("tcp4", s.Front)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\n\r\n", target)
		buf := make([]byte, 4096)
		n, err := c.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		m, _, err := Parse(Response, buf[:n], 1<<16)
		if err != nil || m == nil || m.Status != 200 {
			t.Fatalf("%s: %v", target, err)
		}
		return m.Close
	}
	for i, target := range []string{"/guest", "/guest", "/worker", "/guest", "/worker"} {
		if got, want := ask(target), i == 3; got != want {
			t.Errorf("%d, %s: closes %v", i, target, got)
		}
	}
}

// Machines that are taken away leave their connections open: they must not use
// up the cap for good.
func TestStaleConnections(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(s int) time.Time { return now.Add(-time.Duration(s) * time.Second) }
	for name, c := range map[string]struct {
		conn *clientConn
		want bool
	}{
		"fresh":                  {&clientConn{since: ago(1), last: ago(1)}, false},
		"between reports":        {&clientConn{since: ago(30), last: ago(30)}, false},
		"gone":                   {&clientConn{since: ago(100), last: ago(100)}, true},
		"half a request":         {&clientConn{in: []byte("GET"), since: ago(11), last: ago(1)}, true},
		"a request in work":      {&clientConn{busy: true, since: ago(100), last: ago(100)}, false},
		"closing already":        {&clientConn{done: true, since: ago(100), last: ago(100)}, false},
		"half a request, fresh":  {&clientConn{in: []byte("GET"), since: ago(1), last: ago(1)}, false},
		"answered after a while": {&clientConn{since: ago(100), last: ago(2)}, false},
	} {
		if got := c.conn.stale(now); got != c.want {
			t.Errorf("%s: stale %v", name, got)
		}
	}
}

func TestServerClosesBeyondItsCap(t *testing.T) {
	s, _ := serve(t, 3)
	for range 3 {
		c, err := net.Dial("tcp4", s.Front)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "GET / HTTP/1.1\r\n\r\n")
		if _, err := c.Read(make([]byte, 10)); err != nil {
			t.Fatal(err)
		}
	}
	c, err := net.Dial("tcp4", s.Front)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if n, err := c.Read(make([]byte, 10)); err == nil {
		t.Errorf("a connection beyond the cap got %d bytes", n)
	}
	if s.Down.Load() != 0 {
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
	cmd := exec.Command(os.Args[0], "-test.run=^TestServerSurvivesRunningOutOfSockets$")
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
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		t.Fatal("no address")
	}
	addr := lines.Text()
	var conns []net.Conn
	for range 60 {
		// A listener that has just gone down may leave the attempt hanging.
		c, err := net.DialTimeout("tcp4", addr, 2*time.Second)
		if err != nil {
			break // the listener has gone down already
		}
		conns = append(conns, c)
	}
	if !lines.Scan() || lines.Text() != "down" {
		t.Fatalf("the accept loop never ended: %q", lines.Text())
	}
	for _, c := range conns {
		c.Close()
	}
	for lines.Scan() && lines.Text() != "up" {
	}
	answers(t, addr)
	in.Close()
	for lines.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
}

func fewSockets(t *testing.T) {
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 40, Max: 40}); err != nil {
		t.Fatal(err)
	}
	s, up := serve(t, 100000)
	fmt.Println(s.Front)
	<-up
	fmt.Println("down")
	fmt.Println("up")
	_, _ = io.ReadAll(os.Stdin)
}

func TestPeerLines(t *testing.T) {
	got := make(chan string, 10)
	s := &Server{Front: freeAddr(t), Peer: freeAddr(t), MaxConns: 10,
		Handle: func(_ *Message, respond func(Reply)) { respond(Reply{Status: 200}) },
		Line:   func(b []byte) { got <- string(b) }}
	up := make(chan struct{}, 10)
	s.Listening = func() { up <- struct{}{} }
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() { s.Run(stop); close(ended) }()
	defer func() { close(stop); <-ended }()
	<-up
	conn, err := net.Dial("tcp4", s.Peer)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "{\"a\":1}\n{\"b\"")
	fmt.Fprint(conn, ":2}\n")
	for _, want := range []string{`{"a":1}`, `{"b":2}`} {
		if line := <-got; line != want {
			t.Errorf("%s, not %s", line, want)
		}
	}
}

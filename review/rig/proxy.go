package rig

import (
	"net"
	"sync"
	"time"
)

// Proxy passes TCP connections on to one address. While it is cut it passes nothing on, in either
// direction; what arrives meanwhile is held back, and delivered in order once the cut ends.
type Proxy struct {
	Address  string
	target   string
	listener net.Listener
	// passes, if set, reports whether a connection is passed on during a cut, given its two ports.
	passes func(caller, port int) bool

	mu  sync.Mutex
	cut bool
	// refuse closes all connections, and new ones.
	refuse bool
	conns  map[net.Conn]bool
	// opened is closed when the cut ends.
	opened chan struct{}
}

// NewProxy starts a proxy in front of an address.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: listener.Addr().String(), target: target, listener: listener, opened: make(chan struct{})}
	p.conns = map[net.Conn]bool{}
	close(p.opened)
	go p.accept()
	return p, nil
}

// Cut begins or ends a cut.
func (p *Proxy) Cut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut == cut {
		return
	}
	p.cut = cut
	if cut {
		p.opened = make(chan struct{})
	} else {
		close(p.opened)
	}
}

// Refuse begins or ends a time in which connections are reset.
func (p *Proxy) Refuse(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = refuse
	if refuse {
		for conn := range p.conns {
			reset(conn)
		}
		clear(p.conns)
	}
}

// keep reports whether a connection is kept, and notes it.
func (p *Proxy) keep(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.refuse {
		p.conns[conn] = true
	}
	return !p.refuse
}

func (p *Proxy) forget(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *Proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// wait blocks while the proxy is cut.
func (p *Proxy) wait() {
	for {
		p.mu.Lock()
		cut, opened := p.cut, p.opened
		p.mu.Unlock()
		if !cut {
			return
		}
		<-opened
	}
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(conn)
	}
}

func (p *Proxy) pass(client net.Conn) {
	wait := p.wait
	caller, isTCP := client.RemoteAddr().(*net.TCPAddr)
	own, ok := client.LocalAddr().(*net.TCPAddr)
	if isTCP && ok && p.passes != nil && p.isCut() && p.passes(caller.Port, own.Port) {
		wait = func() {}
	}
	if !p.keep(client) {
		reset(client)
		return
	}
	defer p.forget(client)
	wait()
	server, err := net.DialTimeout("tcp4", p.target, 2*time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	go pipe(server, client, wait)
	pipe(client, server, wait)
}

// pipe passes on what arrives on one connection until it ends, which ends the other one too.
func pipe(to, from net.Conn, wait func()) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		wait()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Cut(false)
}

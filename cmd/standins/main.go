// Command standins runs the project's own stand-ins for the state service, the
// cloud and the workers on loopback sockets, to try the service by hand. It
// writes the settings files of three controllers.
package main

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/harrierreel/harrierreel/internal/standin"
	"github.com/harrierreel/harrierreel/internal/wire"
)

func main() {
	dir := ""
	cmd := &cobra.Command{Use: "standins", Short: "Stand-ins on loopback, to try harrierreel by hand", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error { return run(dir) }}
	cmd.Flags().StringVar(&dir, "dir", "", "where the settings files go")
	_ = cmd.MarkFlagRequired("dir")
	if cmd.Execute() != nil {
		os.Exit(1)
	}
}

// Addresses on loopback.
const (
	stateAddr = "127.0.0.1:7001"
	cloudAddr = "127.0.0.1:7002"
	firstNode = 7010 // front; the peer port is one higher
	firstHost = 7100
	loopStep  = 10 * time.Millisecond
)

type handler func(method, target string, body []byte, answer func(int, []byte))

// host holds the one goroutine that may touch the world.
type host struct {
	w      *standin.World
	events chan func()
	stop   map[string]chan struct{}
}

func run(dir string) error {
	h := &host{w: standin.NewWorld(1, slog.Default()), events: make(chan func(), 1000), stop: map[string]chan struct{}{}}
	h.w.Order = []string{"n0", "n1", "n2"}
	nodes := map[string]*wire.Client{}
	for i, n := range h.w.Order {
		addr := fmt.Sprintf("127.0.0.1:%d", firstNode+2*i)
		nodes[n] = &wire.Client{Addr: addr, MaxIdle: 4, MaxBody: 1 << 20}
		if err := os.WriteFile(filepath.Join(dir, n+".toml"), []byte(settings(i)), 0o600); err != nil {
			return err
		}
		fmt.Println("controller", n, "front", addr, "settings", filepath.Join(dir, n+".toml"))
	}
	h.w.Real = &standin.Real{
		Endpoint: func(machine string) string {
			var n int
			_, _ = fmt.Sscanf(machine, "i-%d", &n)
			return fmt.Sprintf("127.0.0.1:%d", firstHost+n)
		},
		Beat: func(node string, body []byte, done func(int, []byte, error)) {
			go func() {
				m, err := nodes[node].Do("POST", "/agent/beat", body, 4*time.Second)
				h.events <- func() {
					if err != nil {
						done(0, nil, err)
						return
					}
					done(m.Status, m.Body, nil)
				}
			}()
		},
	}
	h.listen(stateAddr, h.w.Store.Serve, nil)
	h.listen(cloudAddr, h.w.Cloud.Serve, nil)
	start := time.Now()
	for {
		select {
		case f := <-h.events:
			f()
		case <-time.After(loopStep):
		}
		h.w.RunUntil(time.Since(start))
		h.machines()
	}
}

// machines opens a socket for every worker that is up and closes the others.
func (h *host) machines() {
	for id, wk := range h.w.Workers {
		if h.stop[id] == nil {
			h.stop[id] = make(chan struct{})
			h.listen(h.w.Real.Endpoint(id), wk.Serve, h.stop[id])
		}
	}
	for id, stop := range h.stop {
		if h.w.Workers[id] == nil && stop != nil {
			close(stop)
			delete(h.stop, id)
		}
	}
}

func (h *host) listen(addr string, serve handler, stop chan struct{}) {
	if c, err := net.DialTimeout("tcp4", addr, time.Second); err == nil {
		c.Close()
		fmt.Fprintln(os.Stderr, "standins: something listens on", addr, "already")
	}
	s := &wire.Server{Front: addr, MaxConns: 200, Handle: func(m *wire.Message, respond func(wire.Reply)) {
		h.events <- func() {
			if m.Method == "POST" && m.Target == "/work" {
				respond(wire.Reply{Status: 404})
				return
			}
			serve(m.Method, m.Target, m.Body, func(status int, body []byte) {
				respond(wire.Reply{Status: status, Body: json.RawMessage(body)})
			})
		}
	}}
	go s.Run(stop)
}

func settings(i int) string {
	out := fmt.Sprintf("node_name = \"n%d\"\nzone = \"a\"\nfront = \"127.0.0.1:%d\"\npeer_listen = \"127.0.0.1:%d\"\n", i, firstNode+2*i, firstNode+2*i+1)
	for p := range 3 {
		if p != i {
			out += fmt.Sprintf("[[peers]]\nnode_name = \"n%d\"\nzone = \"a\"\naddress = \"127.0.0.1:%d\"\n", p, firstNode+2*p+1)
		}
	}
	return out + fmt.Sprintf(`[outside]
cloud = %q
state = %q
[cluster]
size = 3
zones = ["a", "b"]
[[cluster.teams]]
name = "team"
gpus = 8.0
gpus_max = 40.0
[cluster.workers]
report_s = 3.0
lease_s = 30.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 60.0
[cluster.state]
rps = 250.0
write_rps = 100.0
value_kb = 8.0
txn_ops = 16
[cluster.cloud]
rps = 4.0
list_lag_s = 4.0
[cluster.limits]
memory_mb = 300.0
fd_limit = 1000
`, cloudAddr, stateAddr)
}

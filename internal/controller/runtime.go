package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/api"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/peer"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Serve runs a controller on real sockets and the real clock. When ctx ends, the controller shuts
// down gracefully and Serve returns the context's error.
func Serve(ctx context.Context, cfg *settings.Settings, log *slog.Logger) error {
	debug.SetMemoryLimit(int64(cfg.Cluster.Limits.MemoryMB * tuning.MemoryShare * (1 << 20)))
	events := make(chan func(), tuning.EventQueue)
	// The sockets outlive ctx because the shutdown needs them.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var c *Controller
	transport := dialers{events: events}.transport(serving, cfg, func(name string) { c.PeerDisconnected(name) })
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0))
	c = New(cfg, transport, log, random)
	c.state.Now = time.Now()
	listener := newListener(cfg, c, events, log)
	listenerEnded := make(chan struct{})
	go func() {
		defer close(listenerEnded)
		listener.Run(serving.Done())
	}()
	err := runLoop(ctx, c, events)
	stop()
	<-listenerEnded
	return err
}

// dialers makes calls to other services over sockets. Their answers are sent to events.
type dialers struct {
	events chan<- func()
}

// transport returns a Transport over sockets, which is used until ctx ends. onDisconnect is called on
// the loop.
func (d dialers) transport(
	ctx context.Context, cfg *settings.Settings, onDisconnect func(peer string),
) Transport {
	links := d.links(ctx, cfg.Peers, onDisconnect)
	return Transport{
		Store: d.caller(ctx, cfg.Outside.State, tuning.StateConns),
		Watch: d.caller(ctx, cfg.Outside.State, 1),
		Cloud: d.caller(ctx, cfg.Outside.Cloud, tuning.CloudConns),
		Agent: func(request agent.Request, done func(int, []byte, error)) { d.callAgent(ctx, request, done) },
		Gossip: func(name string, line []byte) {
			if link := links[name]; link != nil {
				link.Send(line)
			}
		},
	}
}

// caller returns a function that calls one address and keeps up to maxIdle idle connections to it.
// Answers that come after ctx has ended are dropped, as nobody takes events any more.
func (d dialers) caller(ctx context.Context, address string, maxIdle int) store.Call {
	client := &http1.Client{Addr: address, MaxIdle: maxIdle, MaxBody: tuning.MaxAnswerBody}
	return func(method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
		exchange := func() (*http1.Message, error) { return client.Do(method, target, body, timeout) }
		go d.deliverAnswer(ctx, exchange, done)
	}
}

// callAgent sends a request to an agent on a connection of its own, if its permit is still valid once
// that is open.
func (d dialers) callAgent(ctx context.Context, request agent.Request, done func(int, []byte, error)) {
	client := &http1.Client{Addr: request.Endpoint, MaxBody: tuning.MaxAnswerBody}
	permitted := func() bool { return request.Permit.Valid(time.Now()) }
	exchange := func() (*http1.Message, error) {
		return client.DoIf(permitted, request.Method, request.Target, request.Body, request.Timeout)
	}
	go d.deliverAnswer(ctx, exchange, done)
}

// deliverAnswer makes an exchange and sends its outcome to events.
func (d dialers) deliverAnswer(
	ctx context.Context, exchange func() (*http1.Message, error), done func(int, []byte, error),
) {
	answer, err := exchange()
	event := func() {
		if err != nil {
			done(0, nil, err)
			return
		}
		done(answer.Status, answer.Body, nil)
	}
	select {
	case d.events <- event:
	case <-ctx.Done():
	}
}

// links starts a link to each peer and returns the links by peer name.
func (d dialers) links(
	ctx context.Context, peers []settings.Peer, onDisconnect func(peer string),
) map[string]*peer.Link {
	links := map[string]*peer.Link{}
	for _, p := range peers {
		links[p.NodeName] = peer.NewLink(ctx, p.Address, func() {
			select {
			case d.events <- func() { onDisconnect(p.NodeName) }:
			case <-ctx.Done():
			}
		})
	}
	return links
}

// newListener returns the server for requests and for gossip from peers. While the event queue is
// full it refuses requests and drops gossip.
func newListener(
	cfg *settings.Settings, c *Controller, events chan<- func(), log *slog.Logger,
) *http1.Server {
	fdLimit := cfg.Cluster.Limits.FdLimit
	maxConns := max(fdLimit-tuning.ReservedSockets, fdLimit/2)
	return &http1.Server{
		APIAddr:       cfg.Front,
		PeerAddr:      cfg.PeerListen,
		MaxConns:      maxConns,
		IsUserRequest: api.IsUserRequest,
		MaxUserConns:  int(float64(maxConns) * tuning.UserConnShare),
		Log:           log,
		Handle: func(request *http1.Message, respond func(http1.Reply)) {
			select {
			case events <- func() { c.Request(request, respond) }:
			default:
				respond(http1.Unavailable("too busy"))
			}
		},
		HandlePeerLine: func(line []byte) {
			select {
			case events <- func() { c.ReceiveGossip(line) }:
			default: // gossip may be lost
			}
		},
	}
}

// runLoop passes events and ticks to the controller until it has shut down. The shutdown starts
// when ctx ends.
func runLoop(ctx context.Context, c *Controller, events <-chan func()) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	lastTick := time.Time{}
	shutdown := ctx.Done()
	for !c.HasShutDown() {
		select {
		case <-shutdown:
			shutdown = nil
			c.Run(time.Now(), c.Shutdown)
		case event := <-events:
			c.Run(time.Now(), event)
			runPending(c, events)
		case <-timer.C:
		}
		now := time.Now()
		if now.Sub(lastTick) >= tuning.Tick {
			lastTick = now
			c.Tick(now)
		} else {
			c.Run(now, func() {})
		}
		timer.Reset(c.Wait())
	}
	return ctx.Err()
}

// runPending handles the events that are already queued.
func runPending(c *Controller, events <-chan func()) {
	for {
		select {
		case event := <-events:
			c.Run(time.Now(), event)
		default:
			return
		}
	}
}

// Describe returns a one-line summary of the settings for the log.
func Describe(cfg *settings.Settings) string {
	return fmt.Sprintf("%s in %s, front %s, peers %d", cfg.NodeName, cfg.Zone, cfg.Front, len(cfg.Peers))
}

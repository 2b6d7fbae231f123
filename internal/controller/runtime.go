package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"github.com/harrierreel/harrierreel/internal/api"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/peer"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Serve runs a node on real sockets and the real clock until ctx ends.
func Serve(ctx context.Context, set *settings.Settings, log *slog.Logger) error {
	debug.SetMemoryLimit(int64(set.Cluster.Limits.MemoryMB * tuning.MemoryShare * (1 << 20)))
	events := make(chan func(), tuning.EventQueue)
	running, stop := context.WithCancel(context.WithoutCancel(ctx)) // beyond ctx: the shutdown needs its sockets
	defer stop()
	var c *Controller
	c = New(set, outside(running, set, events, func(name string) { c.PeerDisconnected(name) }), log, rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0)))
	c.Now = time.Now()
	go listener(set, c, events).Run(running.Done())
	return loop(ctx, c, events)
}

// outside is the other services and controllers on sockets. Answers come back as
// events.
func outside(ctx context.Context, set *settings.Settings, events chan func(), ended func(name string)) Transport {
	caller := func(addr string, idle int) store.Call {
		client := &http1.Client{Addr: addr, MaxIdle: idle, MaxBody: tuning.MaxAnswerBody}
		return func(method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
			go func() {
				m, err := client.Do(method, target, body, timeout)
				events <- func() {
					if err != nil {
						done(0, nil, err)
						return
					}
					done(m.Status, m.Body, nil)
				}
			}()
		}
	}
	links := map[string]*peer.Link{}
	for _, p := range set.Peers {
		links[p.NodeName] = peer.NewLink(ctx, p.Address, func() {
			select {
			case events <- func() { ended(p.NodeName) }:
			case <-ctx.Done():
			}
		})
	}
	return Transport{
		State: caller(set.Outside.State, tuning.StateConns),
		Watch: caller(set.Outside.State, 1),
		Cloud: caller(set.Outside.Cloud, tuning.CloudConns),
		Worker: func(endpoint, method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
			caller(endpoint, 0)(method, target, body, timeout, done)
		},
		Gossip: func(name string, line []byte) {
			if l := links[name]; l != nil {
				l.Send(line)
			}
		},
	}
}

// listener takes requests and peers' lines, and refuses what the loop is too far
// behind for.
func listener(set *settings.Settings, c *Controller, events chan func()) *http1.Server {
	conns := max(set.Cluster.Limits.FdLimit-tuning.ReservedSockets, set.Cluster.Limits.FdLimit/2)
	return &http1.Server{
		Front: set.Front, Peer: set.PeerListen, MaxConns: conns,
		IsGuest: api.IsUsers, MaxGuests: int(float64(conns) * tuning.UserConns),
		Handle: func(m *http1.Message, respond func(http1.Reply)) {
			select {
			case events <- func() { c.Request(m, respond) }:
			default:
				respond(http1.Refuse("too busy")) // the loop is far behind
			}
		},
		Line: func(line []byte) {
			select {
			case events <- func() { c.ReceiveGossip(line) }:
			default:
			}
		},
	}
}

// loop hands events and pulses to the node.
func loop(ctx context.Context, c *Controller, events chan func()) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	lastPulse := time.Time{}
	over := ctx.Done()
	for {
		if c.HasShutDown() {
			return ctx.Err()
		}
		select {
		case <-over:
			over = nil
			c.Run(time.Now(), c.Shutdown)
		case f := <-events:
			c.Run(time.Now(), f)
			// Take what else has come in before looking at the clock again.
			for more := true; more; {
				select {
				case f := <-events:
					c.Run(time.Now(), f)
				default:
					more = false
				}
			}
		case <-timer.C:
		}
		now := time.Now()
		if now.Sub(lastPulse) >= tuning.Tick {
			lastPulse = now
			c.Tick(now)
		} else {
			c.Run(now, func() {})
		}
		timer.Reset(c.Wait())
	}
}

// Describe is a line about the settings for the log.
func Describe(set *settings.Settings) string {
	return fmt.Sprintf("%s in %s, front %s, peers %d", set.NodeName, set.Zone, set.Front, len(set.Peers))
}

package controller

import (
	"errors"
	"net/http"
	"slices"

	"github.com/harrierreel/harrierreel/internal/callerrors"
	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/peer"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// hearsAllMembers tells whether the lines of all other members come in.
func (c *Controller) hearsAllMembers() bool {
	if c.view == nil {
		return true
	}
	others := slices.DeleteFunc(slices.Clone(c.view.Names()), func(name string) bool { return name == c.settings.NodeName })
	return c.acks.HearsAll(others, c.Now)
}

// broadcastAcks tells the other controllers what users are about to be told of jobs, before the
// answers leave.
func (c *Controller) broadcastAcks() {
	for _, line := range c.acks.TakeUnsent() {
		h := c.newGossip(cancellation.Message{})
		h.Acknowledged, h.Epoch, h.MachinesHeardEpoch = &line, 0, 0
		b := peer.Encode(h)
		for _, p := range c.settings.Peers {
			c.transport.Gossip(p.NodeName, b)
		}
	}
}

// ReceiveGossip takes a line from a peer.
func (c *Controller) ReceiveGossip(line []byte) {
	h, err := peer.Decode(line, func(name string) bool {
		return slices.ContainsFunc(c.settings.Peers, func(p settings.Peer) bool { return p.NodeName == name })
	})
	if err != nil {
		var decodeError *peer.DecodeError
		if errors.As(err, &decodeError) {
			c.callErrors.Note(callerrors.Peers, "line", string(decodeError.Reason), http.StatusBadRequest, line)
		}
		return
	}
	c.membership.PeerAlive(h.From)
	c.cancellations.Receive(h.From, h.Message)
	c.acks.PeerAlive(h.From, c.Now)
	if h.Acknowledged != nil {
		c.acks.ApplyPeerAcks(*h.Acknowledged, c.Now)
	}
	c.reachability.ApplyGossip(h.From, h.StoreReachable, h.Isolated)
	c.shard.Reconciling.OtherHeard(h.From, h.MachinesHeardEpoch, h.Epoch)
	if h.Epoch > c.mirror.Epoch {
		if c.lateSince.IsZero() {
			c.lateSince = c.Now
		}
		c.watchNow()
	}
	// A worker that cannot reach its owner always tries the same next node,
	// which need not be the leader.
	for _, machine := range h.Unreached[:min(len(h.Unreached), tuning.MaxUnreached)] {
		if owner := c.ownerOf(machine); owner != h.From && c.Machines[machine] != nil {
			c.reachability.Complain(owner, machine, false)
		}
	}
}

func (c *Controller) sendGossip() {
	news := c.mirror.Epoch > c.gossipedEpoch
	if !news && c.Now.Sub(c.gossipedAt) < tuning.GossipEvery {
		return
	}
	if c.Now.Sub(c.gossipedAt) < tuning.GossipEvery/2 {
		return
	}
	c.gossipedAt, c.gossipedEpoch = c.Now, c.mirror.Epoch
	h := c.newGossip(c.cancellations.Handshake())
	h.Unreached = c.reachability.LocalComplaints()
	line := peer.Encode(h)
	for _, p := range c.settings.Peers {
		c.transport.Gossip(p.NodeName, line)
	}
}

// newGossip is what this node says of itself with each line, beside what the line is about.
func (c *Controller) newGossip(m cancellation.Message) peer.Gossip {
	return peer.Gossip{From: c.settings.NodeName, Message: m, Epoch: c.mirror.Epoch, StoreReachable: c.sync.live && !c.client.Unavailable(), Isolated: c.reachability.Isolated(), MachinesHeardEpoch: c.machinesHeardEpoch()}
}

// send sends a peer a line about cancellations.
func (c *Controller) send(name string, m cancellation.Message) {
	c.transport.Gossip(name, peer.Encode(c.newGossip(m)))
}

// machinesHeardEpoch is the view under which this node has heard its machines, as its own watch
// shows: whoever is told waits for that epoch.
func (c *Controller) machinesHeardEpoch() uint64 {
	for _, key := range c.shard.UnresponsiveKeys() {
		if c.mirror.Epoch < c.mirror.Revision(key) {
			return 0
		}
	}
	return c.shard.MachinesHeardEpoch()
}

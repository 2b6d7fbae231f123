package controller

import (
	"errors"
	"net/http"
	"slices"

	"github.com/harrierreel/harrierreel/internal/callerrors"
	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/peer"
	"github.com/harrierreel/harrierreel/internal/readconsistency"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// ReceiveGossip handles a line that a peer sent: one encoded gossip message.
func (c *Controller) ReceiveGossip(line []byte) {
	gossip, err := peer.Decode(line, c.isPeer)
	if err != nil {
		c.countDecodeError(line, err)
		return
	}
	c.membership.PeerAlive(gossip.From)
	c.cancellations.Receive(gossip.From, gossip.Message)
	c.acks.PeerAlive(gossip.From, c.state.Now)
	if gossip.Acknowledged != nil {
		c.applyPeerAcks(gossip.From, *gossip.Acknowledged)
	}
	if gossip.AckConfirmed != nil && c.acks.Confirmed(gossip.From, *gossip.AckConfirmed) {
		c.api.AcksConfirmed()
	}
	c.handleAckQuery(gossip)
	c.reachability.ApplyGossip(gossip.From, gossip.StoreReachable, gossip.Isolated)
	c.shard.Reconciling.OwnerHeard(gossip.From, gossip.MachinesHeardEpoch, gossip.Epoch)
	if gossip.Epoch > c.mirror.Epoch {
		if c.behindSince.IsZero() {
			c.behindSince = c.state.Now
		}
		c.watchNow()
	}
	c.applyUnreached(gossip.From, gossip.Unreached)
}

// applyPeerAcks records what a peer is about to tell users, and confirms it if the peer waits for
// that.
func (c *Controller) applyPeerAcks(from string, acks readconsistency.Acks) {
	if c.learnEnds(acks) && acks.Line != 0 {
		reply := c.newAckGossip()
		reply.AckConfirmed = &readconsistency.Confirmation{Line: acks.Line}
		c.transport.Gossip(from, peer.Encode(reply))
	}
}

// learnEnds records what a peer has acknowledged, or is about to, and reports whether no task of the
// cancelled jobs among it will be launched by this controller from now on.
func (c *Controller) learnEnds(acks readconsistency.Acks) bool {
	c.acks.ApplyPeerAcks(acks, c.state.Now)
	learned := true
	for _, jobID := range clusterstate.SortedKeys(acks.Ended) {
		if acks.Ended[jobID].State == jobs.Cancelled {
			learned = c.cancellations.Learn(jobID) && learned
		}
	}
	return learned
}

// handleAckQuery answers a peer's query about acknowledgements, or records its answer to a query of
// this controller.
func (c *Controller) handleAckQuery(gossip peer.Gossip) {
	if gossip.AckQuery != nil {
		if answer, complete := c.acks.AnswerQuery(*gossip.AckQuery, c.state.Now); complete {
			reply := c.newAckGossip()
			reply.AckAnswer = &answer
			c.transport.Gossip(gossip.From, peer.Encode(reply))
		}
	}
	if gossip.AckAnswer != nil {
		c.learnEnds(readconsistency.Acks{Ended: gossip.AckAnswer.Ended})
		c.api.PeerAnswered(gossip.From, *gossip.AckAnswer)
	}
}

// isPeer reports whether the settings list a controller of this name as a peer.
func (c *Controller) isPeer(name string) bool {
	return slices.ContainsFunc(c.settings.Peers, func(p settings.Peer) bool { return p.NodeName == name })
}

// countDecodeError counts a line that could not be decoded as a refused request.
func (c *Controller) countDecodeError(line []byte, err error) {
	var decodeError *peer.DecodeError
	if errors.As(err, &decodeError) {
		c.callErrors.Note(callerrors.Peers, "line", string(decodeError.Reason), http.StatusBadRequest, line)
	}
}

// applyUnreached records complaints that the peer named by from reports: the agents of these
// machines contacted it because they could not reach their machines' owners. An agent that cannot
// reach the owner always falls back to the same next controller, which is not necessarily the
// leader.
func (c *Controller) applyUnreached(from string, machines []string) {
	for _, machine := range machines[:min(len(machines), tuning.MaxUnreached)] {
		if owner := c.ownerOf(machine); owner != from && c.state.Machines[machine] != nil {
			c.reachability.Complain(owner, machine, false)
		}
	}
}

// sendGossip sends this controller's status to all peers once per tuning.GossipEvery, or twice as
// often while the mirror advances.
func (c *Controller) sendGossip() {
	pause := tuning.GossipEvery
	if c.mirror.Epoch > c.gossipedEpoch {
		pause /= 2
	}
	if c.state.Now.Sub(c.gossipedAt) < pause {
		return
	}
	c.gossipedAt, c.gossipedEpoch = c.state.Now, c.mirror.Epoch
	gossip := c.newGossip(c.cancellations.Handshake())
	gossip.Unreached = c.reachability.LocalComplaints()
	c.broadcast(gossip)
}

// broadcastAcks tells the other controllers which job states are about to be reported to users,
// before the answers are sent.
func (c *Controller) broadcastAcks() {
	for _, acks := range c.acks.TakeUnsent() {
		gossip := c.newAckGossip()
		gossip.Acknowledged = &acks
		c.broadcast(gossip)
	}
}

// queryAcks asks all other controllers what they have acknowledged.
func (c *Controller) queryAcks(query readconsistency.PeerQuery) {
	gossip := c.newAckGossip()
	gossip.AckQuery = &query
	c.broadcast(gossip)
}

// newAckGossip returns a gossip message for acknowledgements. It has no epoch: such messages are too
// frequent for every one of them to make all controllers catch up.
func (c *Controller) newAckGossip() peer.Gossip {
	gossip := c.newGossip(cancellation.Message{})
	gossip.Epoch = 0
	gossip.MachinesHeardEpoch = 0
	return gossip
}

// broadcast sends a gossip message to all peers.
func (c *Controller) broadcast(gossip peer.Gossip) {
	line := peer.Encode(gossip)
	for _, p := range c.settings.Peers {
		c.transport.Gossip(p.NodeName, line)
	}
}

// send sends a message about cancellations to a peer.
func (c *Controller) send(name string, message cancellation.Message) {
	c.transport.Gossip(name, peer.Encode(c.newGossip(message)))
}

// newGossip returns a gossip message that carries this controller's status and the given message.
func (c *Controller) newGossip(message cancellation.Message) peer.Gossip {
	return peer.Gossip{
		From:               c.settings.NodeName,
		Message:            message,
		Epoch:              c.mirror.Epoch,
		StoreReachable:     c.sync.live && !c.client.Unavailable(),
		Isolated:           c.reachability.Isolated(),
		MachinesHeardEpoch: c.machinesHeardEpoch(),
	}
}

// machinesHeardEpoch returns the epoch of the view under which this controller has heard from its
// machines, or 0 if it has not. It stays 0 until the watch shows this controller's own list of
// unresponsive machines, because receivers wait until they have read that epoch of the store.
func (c *Controller) machinesHeardEpoch() uint64 {
	for _, key := range c.shard.UnresponsiveKeys() {
		if c.mirror.Epoch < c.mirror.Revision(key) {
			return 0
		}
	}
	return c.shard.MachinesHeardEpoch()
}

// hearsAllMembers reports whether gossip is arriving from all other members of the view.
func (c *Controller) hearsAllMembers() bool {
	if c.view == nil {
		return true
	}
	isSelf := func(name string) bool { return name == c.settings.NodeName }
	others := slices.DeleteFunc(slices.Clone(c.view.Names()), isSelf)
	return c.acks.AllResponsive(others, c.state.Now)
}

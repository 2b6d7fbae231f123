// Package membership runs the cluster membership of one controller: it obtains and renews the
// lease, writes the view when it is its turn (package members contains the rules), restores
// certainty after a stall, and carries out the actions that the standby state machine requests
// (package standby). Requests to the store go through the client; the package itself does no I/O
// and reads no clock.
package membership

import (
	"encoding/json"
	"log/slog"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// Config is the configuration of a Membership.
type Config struct {
	// Name is the name of this controller and of its member key.
	Name     string
	LeaseTTL time.Duration
	// MaxTxnWrites is the store's limit on writes per transaction.
	MaxTxnWrites int
	// AnswersProbes makes this controller answer liveness probes, and probe members whose
	// connection ended.
	AnswersProbes bool
	// Zones contains the controllers' zones by name.
	Zones map[string]string
	Log   *slog.Logger
}

// ClusterView provides what the controller knows about the cluster.
type ClusterView interface {
	// View returns the newest known view, nil if there is none yet.
	View() *members.View
	// MirrorLive reports whether the mirror is following the store.
	MirrorLive() bool
	// Unreachable returns the members that agents cannot reach. The caller may modify the map.
	Unreachable() map[string]bool
}

// LeaderFitness tells how fit the controller is to lead.
type LeaderFitness interface {
	// Lag returns how far the event loop or the watch is behind, whichever is worse.
	Lag() time.Duration
	// PendingChecks returns the checks that a new leader has yet to complete, none if this
	// controller does not lead.
	PendingChecks() []standby.Check
}

// LoopWaker wakes the controller's event loop.
type LoopWaker interface {
	// Wake makes the event loop run its decisions again.
	Wake()
	// WatchNow makes the event loop open the watch of the store without delay.
	WatchNow()
}

// Collaborators are the dependencies of a Membership.
type Collaborators struct {
	Client  *store.Client
	Mirror  *store.Mirror
	Cluster ClusterView
	Fitness LeaderFitness
	Loop    LoopWaker
}

// Membership manages the lease, the view changes and the standby state of one controller. Not safe
// for concurrent use; only the event loop calls it.
type Membership struct {
	config  Config
	state   *clusterstate.State // for the current time and the batch records
	client  *store.Client
	mirror  *store.Mirror
	cluster ClusterView
	fitness LeaderFitness
	loop    LoopWaker

	memberKeys   map[string]uint64 // incarnation by name
	backoff      members.RestartBackoff
	capabilities map[string]members.Capabilities

	leaseID          uint64    // also the incarnation; 0 for none
	renewedAt        time.Time // when the last request for the lease or its renewal was sent
	requestingLease  bool
	writingMemberKey bool

	certainty    members.LeaseCertainty // of the place in the view
	resumedAt    time.Time              // end of the last stall
	readingEpoch bool                   // the read of the epoch to catch up with is in flight

	changingView bool
	resigning    bool // the resignation was sent
	resigned     bool

	standby          *standby.Standby
	probes           map[string]standby.Probe // unanswered probes in the store, by the probed member
	probing          bool
	answeringProbe   bool
	probeEpoch       uint64   // epoch of the store at which this controller last wrote probes
	unansweredProbes []string // members to remove from the view
}

// New returns the membership of a controller that has not joined yet.
func New(state *clusterstate.State, config Config, collaborators Collaborators) *Membership {
	return &Membership{
		config:       config,
		state:        state,
		client:       collaborators.Client,
		mirror:       collaborators.Mirror,
		cluster:      collaborators.Cluster,
		fitness:      collaborators.Fitness,
		loop:         collaborators.Loop,
		memberKeys:   map[string]uint64{},
		backoff:      members.RestartBackoff{},
		capabilities: map[string]members.Capabilities{},
		certainty:    members.LeaseCertainty{State: members.Certain},
		standby:      standby.New(state.Now),
		probes:       map[string]standby.Probe{},
	}
}

// ApplyMember applies a change of a member key; value is nil if the key was deleted.
func (m *Membership) ApplyMember(name string, value json.RawMessage) {
	defer func() { m.backoff.Observe(name, m.memberKeys[name], m.state.Now) }()
	var incarnation uint64
	if value != nil && json.Unmarshal(value, &incarnation) == nil {
		m.memberKeys[name] = incarnation
		return
	}
	if name == m.config.Name && m.leaseID != 0 && m.memberKeys[name] == m.leaseID && !m.resigning {
		// This controller's lease expired, or it did not answer a probe in time. Either way it
		// rejoins as a new incarnation.
		m.config.Log.Info("membership lost", "lease_id", m.leaseID)
		m.leaseID = 0
	}
	delete(m.memberKeys, name)
}

// ApplyCapabilities applies a change of a member's capabilities; value is nil if the key was
// deleted.
func (m *Membership) ApplyCapabilities(name string, value json.RawMessage) {
	var capabilities members.Capabilities
	if value == nil || json.Unmarshal(value, &capabilities) != nil {
		delete(m.capabilities, name)
	} else {
		m.capabilities[name] = capabilities
	}
}

// Capabilities returns what a member has declared, and whether it has declared anything.
func (m *Membership) Capabilities(name string) (members.Capabilities, bool) {
	capabilities, ok := m.capabilities[name]
	return capabilities, ok
}

// Incarnation returns the incarnation in a member's key, 0 if it has no key.
func (m *Membership) Incarnation(name string) uint64 { return m.memberKeys[name] }

// AllSupportBatches reports whether all members of the view can read batch records. It returns
// false if there is no view.
func (m *Membership) AllSupportBatches() bool {
	view := m.cluster.View()
	return view != nil && view.AllSupportBatches(m.capabilities, taskbatch.FormatVersion)
}

// Reconcile maintains the lease and the member key, carries out the actions of the standby state
// machine, and changes the view when it is this controller's turn.
func (m *Membership) Reconcile() {
	m.reconcileLease()
	m.RestoreCertainty()
	m.evaluateStandby()
	switch {
	case m.resigned, m.leaseID == 0:
		return
	case !m.cluster.MirrorLive(), m.client.Unavailable(), !m.Certain():
		return
	case m.Incarnation(m.config.Name) != m.leaseID:
		m.writeMemberKey()
		return
	}
	m.changeView()
}

// precondition returns the precondition that a key still has the revision in the mirror.
func (m *Membership) precondition(key string) store.Precondition {
	return store.Precondition{Key: key, Revision: m.mirror.Revision(key)}
}

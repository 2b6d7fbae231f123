// Package membership is how a controller joins the others, renews its lease and votes on the view
// (package members decides on it), how it becomes certain of its place again after a stall, and
// how it carries out what its readiness to lead asks for (package standby). Requests to the store
// go out through the client; the package itself has no IO and no clock.
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

// Config is what does not change while the controller runs.
type Config struct {
	// Name is this controller's name, and that of its member key.
	Name     string
	LeaseTTL time.Duration
	// MaxTxnWrites is the store's limit of writes in a transaction.
	MaxTxnWrites int
	// AnswersProbes has this controller probe members whose connection ended, and answer probes.
	AnswersProbes bool
	// Zones are the controllers' zones by name.
	Zones map[string]string
	Log   *slog.Logger
}

// ClusterView is what the controller knows of the others.
type ClusterView interface {
	// View returns the newest view that is known, nil while there is none.
	View() *members.View
	// MirrorLive reports whether the mirror follows the store.
	MirrorLive() bool
	// Unreachable returns the members that agents cannot reach, in a map that is the caller's.
	Unreachable() map[string]bool
}

// LeaderFitness is how fit the controller is to lead.
type LeaderFitness interface {
	// Lag returns how far the controller is behind, with its loop or with its watch.
	Lag() time.Duration
	// PendingChecks lists what it has still to check as a leader, none if it does not lead.
	PendingChecks() []standby.Check
}

// LoopWaker wakes the controller's event loop.
type LoopWaker interface {
	// Wake has the loop look for decisions to take.
	Wake()
	// WatchNow has the loop open the watch of the store.
	WatchNow()
}

// Collaborators are those that membership relies on.
type Collaborators struct {
	Client  *store.Client
	Mirror  *store.Mirror
	Cluster ClusterView
	Fitness LeaderFitness
	Loop    LoopWaker
}

// Membership is one controller's lease, its vote on the view and its readiness to lead. Only the
// event loop calls it.
type Membership struct {
	config  Config
	state   *clusterstate.State // tells the time, and whether there are batch records
	client  *store.Client
	mirror  *store.Mirror
	cluster ClusterView
	fitness LeaderFitness
	loop    LoopWaker

	memberKeys   map[string]uint64 // name to incarnation
	backoff      members.RestartBackoff
	capabilities map[string]members.Capabilities

	leaseID          uint64 // which is its incarnation; 0 for none
	renewedAt        time.Time
	granting         bool // a lease was requested
	writingMemberKey bool

	certainty    members.LeaseCertainty // of its place in the view
	resumedAt    time.Time              // after its last stall
	readingEpoch bool                   // the epoch that makes it certain

	changingView bool
	resigning    bool // its resignation was sent
	resigned     bool

	standby          *standby.Standby
	probes           map[string]standby.Probe // that stand in the store, by the probed member
	probing          bool
	answeringProbe   bool
	probeEpoch       uint64   // of the store, when this controller last wrote probes
	unansweredProbes []string // members that are to be removed from the view
}

// New makes the membership of a controller that has not joined.
func New(state *clusterstate.State, config Config, with Collaborators) *Membership {
	return &Membership{
		config:       config,
		state:        state,
		client:       with.Client,
		mirror:       with.Mirror,
		cluster:      with.Cluster,
		fitness:      with.Fitness,
		loop:         with.Loop,
		memberKeys:   map[string]uint64{},
		backoff:      members.RestartBackoff{},
		capabilities: map[string]members.Capabilities{},
		certainty:    members.LeaseCertainty{State: members.Certain},
		standby:      standby.New(state.Now),
		probes:       map[string]standby.Probe{},
	}
}

// ApplyMember takes in a member's key, nil for one that is gone.
func (m *Membership) ApplyMember(name string, value json.RawMessage) {
	defer func() { m.backoff.Observe(name, m.memberKeys[name], m.state.Now) }()
	var incarnation uint64
	if value != nil && json.Unmarshal(value, &incarnation) == nil {
		m.memberKeys[name] = incarnation
		return
	}
	if name == m.config.Name && m.leaseID != 0 && m.memberKeys[name] == m.leaseID && !m.resigning {
		// Its lease expired, or it was probed and did not answer in time: either way it comes
		// back as a new incarnation.
		m.config.Log.Info("membership lost", "lease_id", m.leaseID)
		m.leaseID = 0
	}
	delete(m.memberKeys, name)
}

// ApplyCapabilities takes in what a member can read, nil for a key that is gone.
func (m *Membership) ApplyCapabilities(name string, value json.RawMessage) {
	var capabilities members.Capabilities
	if value == nil || json.Unmarshal(value, &capabilities) != nil {
		delete(m.capabilities, name)
	} else {
		m.capabilities[name] = capabilities
	}
}

// Incarnation returns the incarnation in a member's key, 0 if it has none.
func (m *Membership) Incarnation(name string) uint64 { return m.memberKeys[name] }

// AllSupportBatches reports whether all members of the view read batch records; false while there
// is no view.
func (m *Membership) AllSupportBatches() bool {
	view := m.cluster.View()
	return view != nil && view.AllSupportBatches(m.capabilities, taskbatch.FormatVersion)
}

// Reconcile keeps the lease and the member key, carries out what the readiness to lead asks for
// and, where it is this controller's turn, changes the view.
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

// precondition is that a key is as the mirror has it.
func (m *Membership) precondition(key string) store.Precondition {
	return store.Precondition{Key: key, Revision: m.mirror.Revision(key)}
}

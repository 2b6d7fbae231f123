package membership

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// fakeController is a controller whose mirror is live and that never lags.
type fakeController struct{ view *members.View }

func (c *fakeController) View() *members.View            { return c.view }
func (c *fakeController) MirrorLive() bool               { return true }
func (c *fakeController) Unreachable() map[string]bool   { return map[string]bool{} }
func (c *fakeController) Lag() time.Duration             { return 0 }
func (c *fakeController) PendingChecks() []standby.Check { return nil }
func (c *fakeController) Wake()                          {}
func (c *fakeController) WatchNow()                      {}

// fixture is the membership of controller n0 with a mirror that tests write to.
type fixture struct {
	t          *testing.T
	state      *clusterstate.State
	client     *store.Client
	mirror     *store.Mirror
	controller *fakeController
	membership *Membership
}

// newFixture returns a fixture whose store client sends its requests with send.
func newFixture(t *testing.T, send func(method, target string, body []byte, done func(int, []byte, error))) *fixture {
	t.Helper()
	f := &fixture{t: t, controller: &fakeController{}}
	f.client = store.New(func(method, target string, body []byte, _ time.Duration, done func(int, []byte, error)) {
		send(method, target, body, done)
	}, nil)
	f.client.SetBudget(1000, 1000, 1000)
	f.state = clusterstate.New(quota.Flat(nil), func(string) {})
	f.state.Now = time.UnixMilli(1e12)
	f.mirror = store.NewMirror(f.apply)
	config := Config{
		Name:          "n0",
		LeaseTTL:      4 * time.Second,
		MaxTxnWrites:  16,
		AnswersProbes: true,
		Log:           slog.New(slog.DiscardHandler),
	}
	f.membership = New(f.state, config, Collaborators{
		Client:  f.client,
		Mirror:  f.mirror,
		Cluster: f.controller,
		Fitness: f.controller,
		Loop:    f.controller,
	})
	return f
}

// apply handles a change of the mirror, as the controller does.
func (f *fixture) apply(key string, value json.RawMessage, _ uint64) {
	prefix, name, _ := strings.Cut(key, "/")
	switch prefix + "/" {
	case members.MemberPrefix:
		f.membership.ApplyMember(name, value)
	case members.CapabilitiesPrefix:
		f.membership.ApplyCapabilities(name, value)
	case standby.ProbePrefix:
		f.membership.ApplyProbe(name, value)
	case members.ViewKey + "/":
		f.controller.view, _ = members.Decode(value)
	case fleet.UnresponsivePrefix: // not used by membership
	default:
		f.t.Errorf("unexpected key %s", key)
	}
}

// put writes a value to a key of the mirror.
func (f *fixture) put(key string, value any, revision uint64) {
	f.mirror.Put(key, jobs.Encode(value), revision)
}

// putMember writes the keys of a member in the given incarnation to the mirror.
func (f *fixture) putMember(name string, incarnation, revision uint64) {
	f.put(members.MemberPrefix+name, incarnation, revision)
	f.put(members.CapabilitiesPrefix+name, members.Capabilities{
		Incarnation:   incarnation,
		BatchFormat:   taskbatch.FormatVersion,
		AnswersProbes: true,
	}, revision)
}

// advance moves the clock and reconciles the membership, with a lease that needs no renewal.
func (f *fixture) advance(d time.Duration) {
	f.state.Now = f.state.Now.Add(d)
	f.client.Dispatch(f.state.Now)
	f.membership.renewedAt = f.state.Now
	f.membership.Reconcile()
}

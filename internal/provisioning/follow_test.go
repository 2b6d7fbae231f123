package provisioning

import (
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// A controller that follows the cloud leads with the catalogue that it has read, and with the
// list if its reading was started long enough after the former leader's last launch request;
// an older list lacks requested machines, and is read again before any are requested.
func TestNewLeaderStartsFromTheFollowedCloud(t *testing.T) {
	for _, c := range []struct {
		name              string
		requestedBefore   time.Duration // the list was read
		startsFromTheList bool
	}{
		{"requested shortly before", 5 * time.Second, false},
		{"requested long before", time.Minute, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLeader(t)
			l.listed = []fleet.ListedMachine{
				{Name: "i-1", MachineType: "g4", Zone: "a", Status: "running", AgeS: 100},
			}
			end := l.state.Now.Add(tuning.WarmEvery)
			for l.state.Now.Before(end) {
				l.state.Now = l.state.Now.Add(time.Second)
				l.FollowCloud(0)
			}
			l.Summary.Requests = []launchRequest{{
				LaunchRequestID: "r-1-1",
				MachineType:     "g4",
				Zone:            "a",
				Count:           3,
				AtMs:            l.followed.listedAt.Add(-c.requestedBefore).UnixMilli(),
			}}
			l.Reset()
			if !l.CatalogKnown() || l.ListKnown() != c.startsFromTheList || !l.RequestsKnown() {
				t.Errorf("priced %v, listed %v, counted %v", l.CatalogKnown(), l.ListKnown(), l.RequestsKnown())
			}
			// What was followed long ago is not used.
			l.FollowCloud(0)
			l.state.Now = l.state.Now.Add(10 * tuning.WarmEvery)
			if l.Reset(); l.CatalogKnown() || l.ListKnown() {
				t.Error("what was read long ago is used")
			}
		})
	}
}

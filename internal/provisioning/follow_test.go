package provisioning

import (
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// A new leader that has followed the cloud starts from the catalogue that it has read. It starts
// from the list only if the reading began long enough after the previous leader's last launch
// request: an older list may lack requested machines and has to be read again before any are
// requested.
func TestNewLeaderStartsFromFollowedCloud(t *testing.T) {
	for _, c := range []struct {
		name            string
		requestedBefore time.Duration // time from the launch request to the reading of the list
		usesList        bool
	}{
		{"requested shortly before", 5 * time.Second, false},
		{"requested long before", time.Minute, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLeader(t)
			l.listed = []fleet.ListedMachine{
				{Name: "i-1", MachineType: "g4", Zone: "a", Status: "running", AgeS: 100},
			}
			end := l.state.Now.Add(tuning.StandbyReadEvery)
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
			if !l.CatalogKnown() || l.ListKnown() != c.usesList || !l.RequestsKnown() {
				t.Errorf("catalogue known %v, list known %v, requests known %v", l.CatalogKnown(), l.ListKnown(), l.RequestsKnown())
			}
			// A catalogue and a list read long ago are not used.
			l.FollowCloud(0)
			l.state.Now = l.state.Now.Add(10 * tuning.StandbyReadEvery)
			if l.Reset(); l.CatalogKnown() || l.ListKnown() {
				t.Error("an outdated catalogue or list is used")
			}
		})
	}
}

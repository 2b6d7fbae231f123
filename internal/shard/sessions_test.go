package shard

import "testing"

func TestSessionStartedAgainUsesNoFormerToken(t *testing.T) {
	f := newFixture(t)
	f.ApplyView()
	former := f.sessionOf("i-1")
	former.CommandUnanswered()
	former.CommandUnanswered()
	f.MachineRemoved("i-1")
	f.ApplyView() // the same view again
	if again := f.sessionOf("i-1"); again.FencingToken() <= former.FencingToken() || again.Epoch != former.Epoch {
		t.Errorf("token %d, the former session used %d", again.FencingToken(), former.FencingToken())
	}
}

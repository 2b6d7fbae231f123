package shard

import (
	"testing"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/goldentest"
)

// TestGoldenQuiet holds the list of machines not heard as it is written.
func TestGoldenQuiet(t *testing.T) {
	for name, unheard := range map[string]map[string]bool{
		"quiet.json":       {"m-1": false, "m-2": true},
		"quiet-least.json": {},
	} {
		o := newOwner(t)
		o.unresponsiveLists["n0"] = fleet.UnresponsiveLists{1: {OutboundPartitioned: map[string]bool{"m-9": false}}}
		ds := o.publishUnresponsive(unheard)
		if len(ds) != 1 || len(ds[0].Writes) != 1 || ds[0].Writes[0].Put != "quiet/n0" {
			t.Fatalf("%s: decided %+v", name, ds)
		}
		goldentest.Bytes(t, name, ds[0].Writes[0].Value)
		back, err := fleet.DecodeUnresponsiveList(goldentest.Read(t, name))
		if err != nil || len(back.OutboundPartitioned) != len(unheard) || back.Since != 0 {
			t.Fatalf("%s: read %+v, %v", name, back, err)
		}
		for machine, mute := range back.OutboundPartitioned {
			if want, known := unheard[machine]; !known || want != mute {
				t.Errorf("%s: read %s as %v", name, machine, mute)
			}
		}
	}
}

package part

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
		o.quietLists["n0"] = fleet.QuietLists{1: {Mute: map[string]bool{"m-9": false}}}
		ds := o.tellQuiet(unheard)
		if len(ds) != 1 || len(ds[0].Writes) != 1 || ds[0].Writes[0].Put != "quiet/n0" {
			t.Fatalf("%s: decided %+v", name, ds)
		}
		goldentest.Bytes(t, name, ds[0].Writes[0].Value)
		back, err := fleet.DecodeQuietList(goldentest.Read(t, name))
		if err != nil || len(back.Mute) != len(unheard) || back.Since != 0 {
			t.Fatalf("%s: read %+v, %v", name, back, err)
		}
		for host, mute := range back.Mute {
			if want, known := unheard[host]; !known || want != mute {
				t.Errorf("%s: read %s as %v", name, host, mute)
			}
		}
	}
}

package part

import (
	"testing"
	"time"

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
		o.Quiet["n0"] = fleet.Quiet{"m-9": {Since: o.Now}}
		ds := o.tellQuiet(unheard)
		if len(ds) != 1 || len(ds[0].Writes) != 1 || ds[0].Writes[0].Put != "quiet/n0" {
			t.Fatalf("%s: decided %+v", name, ds)
		}
		goldentest.Bytes(t, name, ds[0].Writes[0].Value)
		back, err := fleet.DecodeQuiet(goldentest.Read(t, name), nil, time.UnixMilli(1))
		if err != nil || len(back) != len(unheard) {
			t.Fatalf("%s: read %+v, %v", name, back, err)
		}
		for host, s := range back {
			if mute, known := unheard[host]; !known || mute != s.Mute {
				t.Errorf("%s: read %s as %+v", name, host, s)
			}
		}
	}
}

package standby

import (
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

func TestGoldenProbe(t *testing.T) {
	full := Probe{Incarnation: 11, By: "ctl-b", WaitMs: 1500}
	goldentest.RequireNonZeroFields(t, full)
	goldentest.JSON(t, "call.json", full)
	goldentest.JSON(t, "call-least.json", Probe{})
	if decoded, ok := DecodeProbe(goldentest.Read(t, "call.json")); !ok || decoded != full {
		t.Errorf("decoded %+v, %v", decoded, ok)
	}
	goldentest.Bytes(t, "keys.txt", []byte(ProbePrefix+"\n"))
}

package standby

import (
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

func TestGoldenCall(t *testing.T) {
	full := Call{Inc: 11, By: "ctl-b", WaitMs: 1500}
	goldentest.Filled(t, full)
	goldentest.JSON(t, "call.json", full)
	goldentest.JSON(t, "call-least.json", Call{})
	if back, ok := DecodeCall(goldentest.Read(t, "call.json")); !ok || back != full {
		t.Errorf("read %+v, %v", back, ok)
	}
	goldentest.Bytes(t, "keys.txt", []byte(CallPrefix+"\n"))
}

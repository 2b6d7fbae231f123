package peer

import "testing"

func FuzzDecode(f *testing.F) {
	f.Add(Encode(Hint{From: "n1", Epoch: 4, StateOK: true}))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if h, ok := Decode(b); ok && h.From == "" {
			t.Error("a hint from nobody")
		}
	})
}

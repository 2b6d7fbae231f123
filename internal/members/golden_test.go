package members

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

func TestGoldenView(t *testing.T) {
	full := View{
		Leader:  "ctl-a",
		Members: []Member{{Name: "ctl-a", Incarnation: 11}, {Name: "ctl-b", Incarnation: 12}},
		Epoch:   5,
	}
	goldentest.RequireNonZeroFields(t, full)
	for name, v := range map[string]View{"view.json": full, "view-least.json": {Epoch: 1}} {
		goldentest.JSON(t, name, v)
		decoded, ok := Decode(goldentest.Read(t, name))
		if !ok || !reflect.DeepEqual(*decoded, v) {
			t.Errorf("%s: decoded %+v, %v", name, decoded, ok)
			continue
		}
		b, err := json.Marshal(decoded)
		if err != nil {
			t.Fatal(err)
		}
		goldentest.Bytes(t, name, b)
	}
}

func TestGoldenCapabilities(t *testing.T) {
	former := Capabilities{Incarnation: 11, BatchFormat: 1, AnswersProbes: true} // of the version before ConfirmsAcks
	full := former
	full.ConfirmsAcks = true
	goldentest.RequireNonZeroFields(t, full)
	goldentest.JSON(t, "form.json", former)
	goldentest.JSON(t, "form-confirms.json", full)
	goldentest.JSON(t, "form-least.json", Capabilities{})
}

func TestGoldenKeys(t *testing.T) {
	keys := []string{ViewKey, MemberPrefix, CapabilitiesPrefix}
	goldentest.Bytes(t, "keys.txt", []byte(strings.Join(keys, "\n")+"\n"))
}

package fleet

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

func TestGoldenMachineRecord(t *testing.T) {
	full := MachineRecord{
		State:       Deleting,
		Endpoint:    "10.0.0.1:900",
		MachineType: "g2",
		Zone:        "z-b",
		Spot:        true,
		Claim:       "wk-000412",
		Reason:      "not needed",
		SinceMs:     1700000000001,
	}
	goldentest.RequireNonZeroFields(t, full)
	for name, record := range map[string]MachineRecord{"host.json": full, "host-least.json": {State: Up}} {
		goldentest.JSON(t, name, record)
		if decoded, err := DecodeMachineRecord(goldentest.Read(t, name)); err != nil || *decoded != record {
			t.Errorf("%s: read %+v, %v", name, decoded, err)
		}
	}
}

func TestGoldenClaims(t *testing.T) {
	full := Claims{"wk-1": {"m-1", "m-2"}, "wk-2": {"m-3"}}
	goldentest.RequireNonZeroFields(t, full)
	for name, claims := range map[string]Claims{"claims.json": full, "claims-least.json": {}} {
		goldentest.JSON(t, name, claims)
		if decoded, err := DecodeClaims(goldentest.Read(t, name)); err != nil || !reflect.DeepEqual(decoded, claims) {
			t.Errorf("%s: read %+v, %v", name, decoded, err)
		}
	}
}

// Checks the stored form of a list of unresponsive machines, and that it decodes to an
// UnresponsiveSet.
func TestGoldenUnresponsiveList(t *testing.T) {
	now := time.Unix(1700000000, 0)
	entries := []string{UnresponsiveEntry("m-1", false), UnresponsiveEntry("m-2", true)}
	want := UnresponsiveSet{"m-1": {Since: now}, "m-2": {Since: now, OutboundPartitioned: true}}
	goldentest.JSON(t, "quiet.json", entries)
	decoded, err := joinOnlyList(goldentest.Read(t, "quiet.json"), nil, now)
	if err != nil || !reflect.DeepEqual(decoded, want) {
		t.Errorf("read %+v, %v", decoded, err)
	}
	value, err := json.Marshal(
		[]string{
			UnresponsiveEntry("m-1", decoded["m-1"].OutboundPartitioned),
			UnresponsiveEntry("m-2", decoded["m-2"].OutboundPartitioned),
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "quiet.json", value)
	// Without unresponsive machines a nil list is stored.
	goldentest.JSON(t, "quiet-least.json", []string(nil))
	if decoded, err := joinOnlyList(goldentest.Read(t, "quiet-least.json"), nil, now); err != nil || len(decoded) != 0 {
		t.Errorf("read %+v, %v", decoded, err)
	}
}

func TestGoldenStoredNames(t *testing.T) {
	names := []string{
		MachinePrefix,
		ClaimsKey,
		UnresponsivePrefix,
		string(Up),
		string(LegacyUnresponsive),
		string(Warned),
		string(Faulty),
		string(Deleting),
		string(Deleted),
		Group{MachineType: "g2"}.String(),
		Group{MachineType: "g2", Spot: true}.String(),
	} // group names are keys of the histories in the autoscaler's summary
	goldentest.Bytes(t, "words.txt", []byte(strings.Join(names, "\n")+"\n"))
}

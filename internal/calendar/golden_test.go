package calendar

import (
	"encoding/base64"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
	"github.com/harrierreel/harrierreel/internal/quota"
)

func goldenDocument() Document {
	return Document{Revision: 7, Zone: "Europe/Berlin", Tracks: []TrackDoc{{Name: "release", Windows: []WindowDoc{
		{
			Name:    "night",
			Team:    "vision",
			Classes: []string{"train", "eval"},
			Zone:    "UTC",
			Start:   "2026-12-01T22:00",
			Rule:    "FREQ=DAILY",
			Length:  "2h",
			Until:   "05:30",
			Slip:    "15m",
			AtEnd:   AtEndStop,
			Missed:  MissedRun,
			Late:    "1h",
			Need:    &quota.Bounds{Cores: 1.5, Accelerators: 2, MemoryGB: 3},
		},
		{},
	}}}}
}

func TestGoldenDocument(t *testing.T) {
	full := goldenDocument()
	goldentest.RequireNonZeroFields(t, full)
	for name, d := range map[string]Document{"calendar": full, "calendar-least": {}} {
		file := name + ".json"
		goldentest.JSON(t, name+"-unpacked.json", d)
		goldentest.Bytes(t, file, EncodeDocument(&d))
		back, err := DecodeDocument(goldentest.Read(t, file))
		if err != nil || !reflect.DeepEqual(*back, d) {
			t.Errorf("%s: decoded as %+v, %v", file, back, err)
			continue
		}
		goldentest.Bytes(t, file, EncodeDocument(back))

		var s stored
		if err := json.Unmarshal(goldentest.Read(t, file), &s); err != nil {
			t.Fatal(err)
		}
		goldentest.JSON(t, file, s)
		compressed, err := base64.StdEncoding.DecodeString(s.Doc)
		if err != nil {
			t.Fatal(err)
		}
		_, decoder := compressor()
		text, err := decoder.DecodeAll(compressed, nil)
		if err != nil {
			t.Fatal(err)
		}
		goldentest.Bytes(t, name+"-unpacked.json", text)
	}
}

func TestGoldenTrack(t *testing.T) {
	full := Record{Version: storedVersion, DoneMs: 1700000000001, Occurrences: []Occurrence{
		{
			Window:   "night",
			BeginMs:  1700000000002,
			EndMs:    1700000000003,
			State:    Open,
			Revision: 7,
			AtMs:     1700000000004,
			OpenedMs: 1700000000005,
			Team:     "vision",
			Classes:  []string{"train", "eval"},
			Stop:     true,
		},
		{State: Planned},
	}}
	goldentest.RequireNonZeroFields(t, full)
	for name, r := range map[string]Record{"track.json": full, "track-least.json": {Version: storedVersion}} {
		goldentest.Bytes(t, name, r.encode(1<<20))
		goldentest.JSON(t, name, r)
		back, err := DecodeRecord(goldentest.Read(t, name))
		if err != nil || !reflect.DeepEqual(*back, r) {
			t.Errorf("%s: decoded as %+v, %v", name, back, err)
			continue
		}
		goldentest.Bytes(t, name, back.encode(1<<20))
	}
}

func TestGoldenKeysAndStates(t *testing.T) {
	values := []string{StoreKey, TrackPrefix, TrackKey("release"), AtEndFinish, AtEndStop, MissedSkip, MissedRun}
	for _, s := range []State{Planned, Preparing, Open, Closing, Closed, Slipped, Skipped} {
		values = append(values, string(s))
	}
	goldentest.Bytes(t, "words.txt", []byte(strings.Join(values, "\n")+"\n"))
}

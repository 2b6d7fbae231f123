package workers

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

// What workers send and are sent keeps its form, byte for byte.

func TestGoldenReports(t *testing.T) {
	warning, zero := 12.5, 0.0
	full := Report{
		Host: "i-0042", Endpoint: "10.0.0.9:7000", Build: "g4", Site: "north", Loaner: true, Tenure: 3, Tick: 77, Baton: 5242881, WarningS: &warning,
		Pieces: []Piece{
			{Piece: "wk-000412/0", Try: 2, Status: Ended, Cause: CauseError, Saved: true},
			{Piece: "wk-000412/1", Try: 1, Status: Ended, Cause: CauseDone},
			{Piece: "wk-000412/2", Try: 1, Status: Ended, Cause: CauseNoRoom},
			{Piece: "wk-000412/3", Try: 1, Status: Ended, Cause: CauseInUse},
			{Piece: "wk-000412/4", Try: 1, Status: Ended, Cause: CauseNoSuch},
			{Piece: "wk-000412/5", Try: 1, Status: Running},
			{Piece: "wk-000412/6", Try: 1, Status: Pulling},
			{Piece: "wk-000412/7", Try: 1, Status: Waiting},
			{Piece: "wk-000412/8", Try: 1, Status: Saving},
		},
	}
	goldentest.Filled(t, full)
	for name, want := range map[string]Report{
		"report-full.json": full, "report-empty.json": {Host: "i-0042", WarningS: &zero, Pieces: []Piece{}}, "report-null.json": {Host: "i-0042"},
	} {
		goldentest.JSON(t, name, want)
		var got Report
		if err := json.Unmarshal(goldentest.Read(t, name), &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: read as %+v, not as %+v: %v", name, got, want, err)
		}
	}
}

func TestGoldenCommands(t *testing.T) {
	grace, zero := 7.5, 0.0
	orders := []Order{
		{Verb: Stop, Piece: "wk-000412/0", Try: 2, WindDownS: &grace},
		{Verb: Stop, Piece: "wk-000412/1", Try: 1, WindDownS: &zero},
		{Verb: Launch, Piece: "wk-000412/2", Try: 1},
		{Verb: Reap, Piece: "wk-000412/3", Try: 4},
	}
	goldentest.Filled(t, orders)
	goldentest.JSON(t, "orders.json", orders)
	goldentest.Bytes(t, "commands-full.json", Commands(5242881, 3, orders))
	goldentest.Bytes(t, "commands-empty.json", Commands(5242881, 3, []Order{}))
	goldentest.Bytes(t, "commands-null.json", Commands(5242881, 3, nil))
}

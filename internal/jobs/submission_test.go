package jobs

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

const validSubmission = `{"uid":"wk-000412","jobclass":"train","owner":"vision","shape":"ensemble","rank":"urgent",
 "pieces":16,"cores":8.0,"accelerators":1.0,"memory_gb":64.0,"bundle":"img-07",
 "pull_gb":6.2,"builds":["g8"],"site":null,
 "same_place":true,"scatter":false,"loaner":true,
 "expect_s":240.0,"snapshot_s":30.0,"stash_s":4.0,"due_s":900.0,"new":{"x":1}}`

func TestParseSpec(t *testing.T) {
	s, err := ParseSpec([]byte(validSubmission))
	if err != nil || s.TaskCount != 16 || s.ID != "wk-000412" || *s.DeadlineS != 900 || !s.SameZone || s.Zone != "" {
		t.Fatalf("the valid submission is read as %+v: %v", s, err)
	}
	for name, c := range map[string]struct{ field, old, new string }{
		"malformed job ID":            {"uid", `"wk-000412"`, `"job-1"`},
		"no tasks":                    {"pieces", `"pieces":16`, `"pieces":0`},
		"fractional task count":       {"pieces", `"pieces":16`, `"pieces":1.5`},
		"too many tasks":              {"pieces", `"pieces":16`, `"pieces":100001`},
		"unknown kind":                {"shape", `"ensemble"`, `"heap"`},
		"unknown priority":            {"rank", `"urgent"`, `"highest"`},
		"negative cores":              {"cores", `8.0`, `-1`},
		"memory missing":              {"memory_gb", `"memory_gb":64.0,`, ``},
		"empty team":                  {"owner", `"vision"`, `""`},
		"image missing":               {"bundle", `"bundle":"img-07",`, ``},
		"empty list of machine types": {"builds", `["g8"]`, `[]`},
	} {
		body := strings.Replace(validSubmission, c.old, c.new, 1)
		if _, err := ParseSpec([]byte(body)); err == nil || !strings.HasPrefix(err.Error(), c.field+":") {
			t.Errorf("%s: error %v", name, err)
		}
	}
	for _, body := range []string{"", "null", "[]", `"x"`, "{", `{"uid":5}`} {
		if _, err := ParseSpec([]byte(body)); err == nil {
			t.Errorf("%q was accepted", body)
		}
	}
}

// A field that may not be null may not be missing either, even if zero would be a valid value.
// A record omits fields that are zero; a submission made from it includes them.
func TestMissingFieldsAreReported(t *testing.T) {
	fields := map[string]any{}
	if err := json.Unmarshal([]byte(validSubmission), &fields); err != nil {
		t.Fatal(err)
	}
	for f, v := range fields {
		for _, null := range []bool{false, true} {
			if delete(fields, f); null {
				fields[f] = nil
			}
			want := f + ": is missing"
			if f == "builds" || f == "site" || f == "due_s" || f == "new" {
				want = "<nil>"
			}
			if _, err := ParseSpec(Encode(fields)); fmt.Sprint(err) != want {
				t.Errorf("%s, null %v: %v", f, null, err)
			}
		}
		fields[f] = v
	}
	minimal := &Spec{
		ID:        "wk-1",
		Class:     "c",
		Team:      "t",
		Kind:      JobArray,
		Priority:  "idle",
		TaskCount: 1,
		Cores:     1,
		MemoryGB:  1,
		Image:     "b",
	}
	if s, err := ParseSpec(minimal.Submission()); err != nil || !reflect.DeepEqual(s, minimal) {
		t.Errorf("%s: %+v %v", minimal.Submission(), s, err)
	}
	if s, err := ParseSpec([]byte(validSubmission)); err != nil {
		t.Error(err)
	} else if again, err := ParseSpec(s.Submission()); err != nil || !reflect.DeepEqual(s, again) {
		t.Errorf("%s: %+v %v", s.Submission(), again, err)
	}
}

package jobs

import "testing"

func TestTaskRanges(t *testing.T) {
	in := []Task{
		{State: Placed, Machine: "i-1", Attempt: 1},
		{State: Pending, Attempt: 2, FailedOn: []string{"i-000001", "i-000002"}},
		{State: Finished, Attempt: 1},
	}
	out, err := DecodeTaskRange(EncodeTaskRange(in, 8192))
	if err != nil || len(out) != 3 {
		t.Fatal(out, err)
	}
	for i := range in {
		if !in[i].Equal(&out[i]) {
			t.Errorf("task %d: %+v", i, out[i])
		}
	}
	trimmed, err := DecodeTaskRange(EncodeTaskRange(in, 100))
	if err != nil || trimmed[1].FailedOn != nil || trimmed[1].Attempt != 2 || trimmed[0].Machine != "i-1" {
		t.Errorf("only FailedOn and Reason should be omitted where space is short: %+v %v", trimmed, err)
	}
	// The first version held a single task.
	first, err := DecodeTaskRange([]byte(`{"s":"placed","host":"i-7","try":3}`))
	if err != nil || len(first) != 1 || first[0].Machine != "i-7" {
		t.Error(first, err)
	}
	for _, invalid := range []string{
		`{"s":"placed"}`,
		`{"v":2,"t":[{"s":"pending"}]}`,
		`{"v":1,"t":[]}`,
		`{"v":1,"t":[{"s":"placed"}]}`,
		`[]`,
		`null`,
		`{}`,
	} {
		if _, err := DecodeTaskRange([]byte(invalid)); err == nil {
			t.Errorf("%s was accepted", invalid)
		}
	}
}

package jobs

import "testing"

func TestNextJob(t *testing.T) {
	for _, s := range []JobState{Done, Cancelled} {
		for _, e := range []JobEvent{UserCancels, TasksAllDone} {
			if _, ok := NextJob(s, e); ok {
				t.Errorf("%s changed on %s", s, e)
			}
		}
	}
}

func FuzzRecords(f *testing.F) {
	f.Add([]byte(`{"s":"live","at":1,"spec":{"uid":"wk-1","pieces":1,"rank":"prod"}}`))
	f.Add([]byte(`{"s":"placed","host":"i-1","try":1}`))
	f.Add([]byte(validSubmission))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := DecodeRecord("wk-1", b); err == nil && r.Spec.ID != "wk-1" {
			t.Error("accepted the record of another job")
		}
		if x, err := DecodeTask(b); err == nil && x.OnMachine() && x.Machine == "" {
			t.Error("accepted a placed task without a machine")
		}
		_, _ = ParseSpec(b)
	})
}

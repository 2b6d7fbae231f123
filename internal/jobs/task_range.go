package jobs

import (
	"encoding/json"
	"fmt"
	"slices"
)

// taskRangeVersion is the form in which task ranges are stored.
const taskRangeVersion = 1

// storedTaskRange is a task range as stored: the records of consecutive tasks of a job.
// The first form kept one task in each record, without a version; it is still read.
type storedTaskRange struct {
	Version int    `json:"v"`
	Tasks   []Task `json:"t"`
}

// EncodeTaskRange writes a task range. A record may not be longer than limit bytes: what
// only helps to choose machines is left out where it would not fit.
func EncodeTaskRange(tasks []Task, limit int) json.RawMessage {
	body := Encode(storedTaskRange{taskRangeVersion, tasks})
	if len(body) <= limit {
		return body
	}
	trimmed := slices.Clone(tasks)
	for i := range trimmed {
		trimmed[i].FailedOn = nil
		trimmed[i].Reason = ""
	}
	return Encode(storedTaskRange{taskRangeVersion, trimmed})
}

// DecodeTaskRange reads the tasks of a task range and checks them.
func DecodeTaskRange(body []byte) ([]Task, error) {
	var stored storedTaskRange
	if err := json.Unmarshal(body, &stored); err != nil {
		return nil, err
	}
	switch {
	case stored.Version == 0 && stored.Tasks == nil:
		t, err := DecodeTask(body)
		if err != nil {
			return nil, err
		}
		return []Task{*t}, nil
	case stored.Version != taskRangeVersion:
		return nil, fmt.Errorf("unknown version %d of a slice", stored.Version)
	case len(stored.Tasks) == 0 || len(stored.Tasks) > MaxTasks:
		return nil, fmt.Errorf("a slice of %d tasks", len(stored.Tasks))
	}
	for i := range stored.Tasks {
		if err := stored.Tasks[i].Check(); err != nil {
			return nil, err
		}
	}
	return stored.Tasks, nil
}

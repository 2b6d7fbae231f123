package jobs

import (
	"encoding/json"
	"fmt"
	"slices"
)

// taskRangeVersion is the version of the stored encoding of task ranges.
const taskRangeVersion = 1

// storedTaskRange is the stored form of a task range: the records of consecutive tasks of a
// job. The first version stored a single task, without a version number; it can still be read.
type storedTaskRange struct {
	Version int    `json:"v"`
	Tasks   []Task `json:"t"`
}

// EncodeTaskRange encodes a task range. If the encoding exceeds limit bytes, it omits FailedOn,
// which only helps to choose machines, and Reason.
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

// DecodeTaskRange decodes and validates the tasks of a task range.
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
		return nil, fmt.Errorf("unknown version %d of a task range", stored.Version)
	case len(stored.Tasks) == 0 || len(stored.Tasks) > MaxTasks:
		return nil, fmt.Errorf("task range of %d tasks", len(stored.Tasks))
	}
	for i := range stored.Tasks {
		if err := stored.Tasks[i].Check(); err != nil {
			return nil, err
		}
	}
	return stored.Tasks, nil
}

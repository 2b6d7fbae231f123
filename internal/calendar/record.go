package calendar

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Keys in the state service: the document in force, and the occurrences of each track.
const (
	StoreKey    = "calendar"
	TrackPrefix = StoreKey + "/"
)

// storedVersion is the form in which both are stored.
const storedVersion = 1

// stored is the document in force as kept: packed, for 200 windows must fit into one
// value. Every decision is conditional on its stamp.
type stored struct {
	Version  int    `json:"v"`
	Revision int    `json:"n"`
	Doc      string `json:"doc"`
}

var compressor = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	enc, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	dec, _ := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(tuning.MaxCalendarBytes))
	return enc, dec
})

// EncodeDocument writes the document that is in force.
func EncodeDocument(d *Document) json.RawMessage {
	enc, _ := compressor()
	return jobs.Encode(
		stored{storedVersion, d.Revision, base64.StdEncoding.EncodeToString(enc.EncodeAll(jobs.Encode(d), nil))},
	)
}

// DecodeDocument reads the document in force. A version that is not known is an error.
func DecodeDocument(b []byte) (*Document, error) {
	var s stored
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, err
	}
	if s.Version != storedVersion {
		return nil, fmt.Errorf("unknown version %d of the calendar", s.Version)
	}
	packed, err := base64.StdEncoding.DecodeString(s.Doc)
	if err != nil {
		return nil, err
	}
	_, dec := compressor()
	text, err := dec.DecodeAll(packed, nil)
	if err != nil {
		return nil, err
	}
	var d Document
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, err
	}
	if d.Revision != s.Revision {
		return nil, errors.New("the calendar's revision is not that of its document")
	}
	return &d, nil
}

// Compile makes the plan of a stored document without looking for overlaps: it was
// checked before it was put in force.
func Compile(d *Document) (*Plan, error) {
	b := &documentCheck{plan: newPlan(d)}
	b.checkDocument()
	if len(b.faults) > 0 {
		return nil, errors.New(strings.Join(b.faults, "; "))
	}
	return b.plan, nil
}

// Record is a track's occurrences as stored: those that wait, in order, the one that
// holds the track, and the last few that ended.
type Record struct {
	Version int `json:"v"`
	// DoneMs is the planned begin of the last one that has begun or ended: none up
	// to there is ever planned again.
	DoneMs      int64        `json:"d"`
	Occurrences []Occurrence `json:"o"`
}

// TrackKey is the key of a track's occurrences.
func TrackKey(track string) string { return TrackPrefix + track }

// DecodeRecord reads a track's occurrences and checks them.
func DecodeRecord(b []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, err
	}
	if r.Version != storedVersion {
		return nil, fmt.Errorf("unknown version %d of a track", r.Version)
	}
	holds := 0
	for _, o := range r.Occurrences {
		switch o.State {
		case Open, Closing:
			holds++
		case Planned, Preparing, Closed, Slipped, Skipped:
		default:
			return nil, fmt.Errorf("unknown state %q of %s", o.State, o.Window)
		}
	}
	if holds > 1 {
		return nil, errors.New("two occurrences hold the track")
	}
	return &r, nil
}

// encode writes a track's occurrences. The oldest of what ended goes first where they
// would not fit, then the last of what is planned: it is planned again.
func (r *Record) encode(limit int) json.RawMessage {
	r.Version = storedVersion
	for {
		ended := 0
		for _, o := range r.Occurrences {
			if o.State.Final() {
				ended++
			}
		}
		b := jobs.Encode(r)
		fits := len(b) <= limit
		if fits && ended <= tuning.MaxEndedOccurrences {
			return b
		}
		i := slices.IndexFunc(r.Occurrences, func(o Occurrence) bool { return o.State.Final() })
		if last := len(r.Occurrences) - 1; i < 0 {
			if last < 0 || r.Occurrences[last].State != Planned {
				return b
			}
			i = last
		}
		r.Occurrences = slices.Delete(r.Occurrences, i, i+1)
	}
}

// holder is the occurrence that has the track, nil for none.
func (r *Record) holder() *Occurrence {
	for i := range r.Occurrences {
		if r.Occurrences[i].State.Holds() {
			return &r.Occurrences[i]
		}
	}
	return nil
}

// ms is a time of day in ms.
func ms(t time.Time) int64 { return t.UnixMilli() }

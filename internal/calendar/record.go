package calendar

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/compression"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Keys in the state service: the document in force, and the occurrences of each track.
const (
	StoreKey    = "calendar"
	TrackPrefix = StoreKey + "/"
)

// storedVersion is the format version of both records.
const storedVersion = 1

// Errors of stored records.
var (
	errUnknownVersion   = errors.New("unknown version")
	errRevisionMismatch = errors.New("the revision is not that of the document")
	errInvalidDocument  = errors.New("invalid document")
	errUnknownState     = errors.New("unknown state")
	errTwoHolders       = errors.New("two occurrences hold the track")
)

// stored is the stored form of the document in force. The document is compressed, because 200
// windows must fit into one value. Every decision is conditional on this key's revision in the
// store.
type stored struct {
	Version  int    `json:"v"`
	Revision int    `json:"n"`
	Doc      string `json:"doc"`
}

var compressor = compression.New(tuning.MaxCalendarBytes)

// EncodeDocument returns the stored form of the document in force.
func EncodeDocument(document *Document) json.RawMessage {
	encoder, _ := compressor()
	compressed := encoder.EncodeAll(jobs.Encode(document), nil)
	return jobs.Encode(stored{
		Version:  storedVersion,
		Revision: document.Revision,
		Doc:      base64.StdEncoding.EncodeToString(compressed),
	})
}

// DecodeDocument decodes the stored document in force. An unknown version is an error.
func DecodeDocument(value []byte) (*Document, error) {
	var outer stored
	if err := json.Unmarshal(value, &outer); err != nil {
		return nil, fmt.Errorf("decode calendar: %w", err)
	}
	if outer.Version != storedVersion {
		return nil, fmt.Errorf("decode calendar: %w %d", errUnknownVersion, outer.Version)
	}
	compressed, err := base64.StdEncoding.DecodeString(outer.Doc)
	if err != nil {
		return nil, fmt.Errorf("decode calendar: %w", err)
	}
	_, decoder := compressor()
	text, err := decoder.DecodeAll(compressed, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress calendar: %w", err)
	}
	var document Document
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, fmt.Errorf("decode calendar's document: %w", err)
	}
	if document.Revision != outer.Revision {
		return nil, fmt.Errorf("decode calendar: %w", errRevisionMismatch)
	}
	return &document, nil
}

// Compile returns the plan of a stored document. It does not check for overlaps: that was done
// before the document was put in force.
func Compile(document *Document) (*Plan, error) {
	check := &documentCheck{plan: newPlan(document)}
	check.checkDocument()
	if len(check.faults) > 0 {
		return nil, fmt.Errorf("compile calendar: %w: %s", errInvalidDocument, strings.Join(check.faults, "; "))
	}
	return check.plan, nil
}

// Record is the stored record of a track's occurrences: the waiting ones, the one that holds the
// track, and the last few that ended, ordered by begin.
type Record struct {
	Version int `json:"v"`
	// DoneMs is the latest planned begin of an occurrence that has opened or was skipped, in Unix
	// ms. No occurrence up to this time is planned again.
	DoneMs      int64        `json:"d"`
	Occurrences []Occurrence `json:"o"`
}

// TrackKey returns the key of a track's record.
func TrackKey(track string) string { return TrackPrefix + track }

// DecodeRecord decodes and validates a track's record.
func DecodeRecord(value []byte) (*Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return nil, fmt.Errorf("decode track: %w", err)
	}
	if record.Version != storedVersion {
		return nil, fmt.Errorf("decode track: %w %d", errUnknownVersion, record.Version)
	}
	holders := 0
	for _, occurrence := range record.Occurrences {
		if !occurrence.State.valid() {
			return nil, fmt.Errorf("decode track: %w %q of %s", errUnknownState, occurrence.State, occurrence.Window)
		}
		if occurrence.State.Holds() {
			holders++
		}
	}
	if holders > 1 {
		return nil, fmt.Errorf("decode track: %w", errTwoHolders)
	}
	return &record, nil
}

// encode returns the record's stored form. If it exceeds limitBytes or has too many ended
// occurrences, the oldest ended ones are removed first, then the latest planned ones: these are
// planned again later.
func (r *Record) encode(limitBytes int) json.RawMessage {
	r.Version = storedVersion
	for {
		value := jobs.Encode(r)
		if len(value) <= limitBytes && r.ended() <= tuning.MaxEndedOccurrences {
			return value
		}
		index, ok := r.evictable()
		if !ok {
			return value
		}
		r.Occurrences = slices.Delete(r.Occurrences, index, index+1)
	}
}

// ended returns the number of occurrences in a final state.
func (r *Record) ended() int {
	count := 0
	for _, occurrence := range r.Occurrences {
		if occurrence.State.Final() {
			count++
		}
	}
	return count
}

// evictable returns the index of the occurrence to remove first when the record is too large. It
// returns false if none may be removed.
func (r *Record) evictable() (int, bool) {
	oldestEnded := slices.IndexFunc(r.Occurrences, func(o Occurrence) bool { return o.State.Final() })
	if oldestEnded >= 0 {
		return oldestEnded, true
	}
	last := len(r.Occurrences) - 1
	return last, last >= 0 && r.Occurrences[last].State == Planned
}

// holder returns the open or closing occurrence, or nil.
func (r *Record) holder() *Occurrence {
	for i := range r.Occurrences {
		if r.Occurrences[i].State.Holds() {
			return &r.Occurrences[i]
		}
	}
	return nil
}

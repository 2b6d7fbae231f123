package members

// Capabilities is what one incarnation of a controller can read of the records that came
// after the first version. A controller that says nothing reads none of them.
type Capabilities struct {
	Incarnation uint64 `json:"inc"`
	BatchFormat int    `json:"pack"` // newest form of packs
	// AnswersProbes tells that it answers calls (package standby): one that does not must not be
	// taken for dead because of it.
	AnswersProbes bool `json:"calls,omitempty"`
}

// AllSupportBatches tells whether every member of the view reads packs of some form.
func (v *View) AllSupportBatches(forms map[string]Capabilities, pack int) bool {
	for _, m := range v.Members {
		if f := forms[m.Name]; f.Incarnation != m.Incarnation || f.BatchFormat < pack {
			return false
		}
	}
	return true
}

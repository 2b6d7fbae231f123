package pipelines

// Fault is one thing that is wrong with a document. Path leads to it, as in
// steps[2].needs[0]; Want says what was expected there. Users get both, so that
// their texts only ever change together with the golden files.
type Fault struct {
	Path string `json:"path"`
	Want string `json:"want"`
	// AtName: the field's name is meant, not its value.
	AtName bool `json:"at_name,omitempty"`
}

// Error is the fault's path, if it has one, and what was expected there.
func (f Fault) Error() string {
	if f.Path == "" {
		return f.Want
	}
	return f.Path + ": " + f.Want
}

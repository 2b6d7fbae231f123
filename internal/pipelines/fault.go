package pipelines

// Fault is a validation error of a document. Path is its place in the document, as in
// steps[2].needs[0], and Want says what was expected there. Users see both: the golden files guard
// their texts.
type Fault struct {
	Path string `json:"path"`
	Want string `json:"want"`
	// AtName says that the fault concerns the field's name, not its value.
	AtName bool `json:"at_name,omitempty"`
}

// Error returns the fault's path, if it has one, and what was expected there.
func (f Fault) Error() string {
	if f.Path == "" {
		return f.Want
	}
	return f.Path + ": " + f.Want
}

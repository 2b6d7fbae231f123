package members

// Capabilities is what one incarnation of a controller can read of the records that were added
// after the first version. A controller that declares nothing reads none of them.
type Capabilities struct {
	Incarnation uint64 `json:"inc"`
	// BatchFormat is the newest form of batch records that it reads, 0 for none.
	BatchFormat int `json:"pack"`
	// AnswersProbes tells that it answers liveness probes (package standby): a controller that
	// doesn't must not be taken for dead because a probe is unanswered.
	AnswersProbes bool `json:"calls,omitempty"`
}

// AllSupportBatches reports whether every member of the view, as the incarnation that the view
// names, reads batch records of some format.
func (v *View) AllSupportBatches(capabilities map[string]Capabilities, batchFormat int) bool {
	for _, m := range v.Members {
		if c := capabilities[m.Name]; c.Incarnation != m.Incarnation || c.BatchFormat < batchFormat {
			return false
		}
	}
	return true
}

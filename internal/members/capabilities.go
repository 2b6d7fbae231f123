package members

// Capabilities declares what one incarnation of a controller supports of the features that were
// added after the first version. A controller that declares nothing supports none of them.
type Capabilities struct {
	Incarnation uint64 `json:"inc"`
	// BatchFormat is the newest format of batch records that the controller can read, 0 for none.
	BatchFormat int `json:"pack"`
	// AnswersProbes reports whether the controller answers liveness probes (package standby). A
	// controller that does not must not be declared dead because of an unanswered probe.
	AnswersProbes bool `json:"calls,omitempty"`
	// ConfirmsAcks reports whether the controller confirms lines with ends of jobs, and waits for
	// such confirmations before it tells a user of an end (package readconsistency).
	ConfirmsAcks bool `json:"acks,omitempty"`
}

// AllSupportBatches reports whether every member of the view, in the incarnation that the view
// lists, can read batch records of the given format or of a newer one.
func (v *View) AllSupportBatches(capabilities map[string]Capabilities, batchFormat int) bool {
	for _, m := range v.Members {
		if c := capabilities[m.Name]; c.Incarnation != m.Incarnation || c.BatchFormat < batchFormat {
			return false
		}
	}
	return true
}

package tuning

// Limits of the wire format.
const (
	// MaxRequestBody is the protocol's limit on request bodies in bytes.
	MaxRequestBody = 64 << 10
	// MaxHeadBytes is the maximum size of the start line and headers in bytes. Peers send a few
	// hundred.
	MaxHeadBytes = 8 << 10
	// MaxAnswerBody is the maximum size of a response body in bytes. The answer to a watch has no
	// limit of its own; 16 MiB is far above 10,000 changes of the usual size and far below the
	// memory limit.
	MaxAnswerBody = 16 << 20
	// MaxPeerLine is the maximum size of a gossip line in bytes. Controllers send short ones, so a
	// longer line is not from one of them.
	MaxPeerLine = 64 << 10
)

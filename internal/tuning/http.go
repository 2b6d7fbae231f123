package tuning

// Limits of the wire format.
const (
	// MaxRequestBody, bytes: the protocol's bound on request bodies.
	MaxRequestBody = 64 << 10
	// MaxHeadBytes, bytes: start line and headers; peers send a few hundred.
	MaxHeadBytes = 8 << 10
	// MaxAnswerBody, bytes: a watch answer has no limit of its own; 16 MiB is
	// far above 10,000 changes of the usual size and far below our memory.
	MaxAnswerBody = 16 << 20
	// MaxPeerLine, bytes: gossip messages are short; a longer line is not ours.
	MaxPeerLine = 64 << 10
)

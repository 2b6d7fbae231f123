package tuning

import "time"

// Connections.
const (
	// RequestReadTimeout is the time within which a request must be received completely; after that
	// its connection is closed.
	RequestReadTimeout = 10 * time.Second
	// IdleClientTimeout is the time without input after which a client's connection is closed.
	// Agents send heartbeats every few seconds and users poll about as often.
	IdleClientTimeout = 90 * time.Second
	// ListenerTick is the interval of the checks for slow and idle connections.
	ListenerTick = time.Second
	// ListenRetryDelay is the pause before a failed listener is set up again: long enough for file
	// descriptors to become free, short enough not to miss two probes.
	ListenRetryDelay = 100 * time.Millisecond
	// DialTimeout is the timeout for connecting to a host.
	DialTimeout = 1500 * time.Millisecond
	// IdleConnTimeout is the age at which an idle client connection is not used again, since the
	// other side may have closed it.
	IdleConnTimeout = 30 * time.Second
	// EventQueue is the maximum number of events that wait for the event loop; beyond that requests
	// are refused.
	EventQueue = 4096
	// MemoryShare is the share of the memory limit that is given to the garbage collector. The
	// rest is for stacks, buffers and the program itself.
	MemoryShare = 0.8
	// ReservedSockets is the number of file descriptors reserved for the controller's own calls,
	// epoll and logs.
	ReservedSockets = 400
	// UserConnShare is the share of the connections that users may keep open. The rest is for
	// agents, which must not be crowded out when users send many times as many requests.
	UserConnShare = 0.6
	// KeepAliveShare is the share of the allowed connections beyond which every connection is
	// closed after its response. 2,700 machines that send a heartbeat every 8 s then open 340
	// connections a second, each for some milliseconds.
	KeepAliveShare = 0.85
	// StateConns is the number of connections kept open to the state service: one per concurrent
	// call at the highest rate (250/s at 10 ms), and some spare ones.
	StateConns = 8
	// CloudConns is the number of connections kept open to the cloud.
	CloudConns = 2
	// MaxAgentCalls is the maximum number of direct calls to agents under way at once.
	MaxAgentCalls = 64
)

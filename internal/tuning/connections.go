package tuning

import "time"

// Connections.
const (
	// SlowRequest: a request that is not whole by then ends its connection.
	SlowRequest = 10 * time.Second
	// IdleClient: workers report every few seconds and users ask about as often;
	// a connection on which nothing has come for so long has nobody behind it.
	IdleClient = 90 * time.Second
	// ListenerTick: how often slow connections are looked for.
	ListenerTick = time.Second
	// ListenAgain: pause before a failed listener is set up again; long enough
	// for descriptors to come free, short enough not to miss two probes.
	ListenAgain = 100 * time.Millisecond
	// DialTimeout: a host that does not answer is given up after this.
	DialTimeout = 1500 * time.Millisecond
	// IdleConn: kept connections older than this are not used again, because
	// the other side may have closed them.
	IdleConn = 30 * time.Second
	// EventQueue: messages waiting for the loop before requests are refused.
	EventQueue = 4096
	// MemoryShare: part of the memory limit that the garbage collector aims to
	// stay in; the rest is for stacks, buffers and the program itself.
	MemoryShare = 0.8
	// ReservedSockets: descriptors kept back from users for our own calls,
	// epoll and logs.
	ReservedSockets = 400
	// UserConns: share of the connections that users may keep open; the rest is
	// for workers, who must not be crowded out when users ask many times as often.
	UserConns = 0.6
	// CrowdedShare: of the connections allowed; while more are open, each ends with its
	// answer. 2,700 machines that report each 8 s are then 340 connections a second, open
	// for some milliseconds each.
	CrowdedShare = 0.85
	// StateConns, connections kept to the state service: one per concurrent
	// call at the highest rate (250/s at 10 ms) and some air.
	StateConns = 8
	// CloudConns, connections kept to the cloud.
	CloudConns = 2
	// MaxWorkerCalls: direct calls to workers under way at once.
	MaxWorkerCalls = 64
)

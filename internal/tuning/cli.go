package tuning

import "time"

// Pipeline files and the command line.
const (
	// MaxNodes, MaxDepth: of a pipeline file once its aliases are followed; one
	// of 64 KiB without aliases has at most some 30,000.
	MaxNodes = 100_000
	MaxDepth = 64
)

// The command line's client.
const (
	// ClientTimeout: how long one controller may take to answer; the protocol
	// gives users 5 s.
	ClientTimeout = 5 * time.Second
	// ClientPause, MaxClientPause: between two rounds of attempts, and the most that
	// an answer may make it wait (protocol).
	ClientPause    = time.Second
	MaxClientPause = 30 * time.Second
	// ClientPatience: how long a request is repeated unless the user says
	// otherwise (protocol).
	ClientPatience = 60 * time.Second
	// ClientPoll: pause between two looks at what is waited for; a controller
	// answers from memory.
	ClientPoll = time.Second
)

// Trying it out.
const (
	// SandboxStep: how often the stand-ins' clock is set after the real one.
	SandboxStep = 10 * time.Millisecond
	// SandboxPort: first port of the stand-ins and controllers.
	SandboxPort = 7000
	// SandboxTimeout: how long the demonstration may take as a whole.
	SandboxTimeout = time.Minute
)

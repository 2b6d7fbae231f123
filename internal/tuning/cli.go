package tuning

import "time"

// Pipeline files.
const (
	// MaxYAMLNodes is the maximum number of nodes of a pipeline file once its aliases are expanded.
	// A file of 64 KiB without aliases has at most some 30,000.
	MaxYAMLNodes = 100_000
	// MaxYAMLDepth is the maximum nesting depth of such a file.
	MaxYAMLDepth = 64
)

// The command-line client.
const (
	// ClientTimeout is the timeout of a request to one controller. The protocol gives users 5 s.
	ClientTimeout = 5 * time.Second
	// ClientPause is the pause between two rounds of attempts (protocol).
	ClientPause = time.Second
	// MaxClientPause is the longest pause that a response may ask for (protocol).
	MaxClientPause = 30 * time.Second
	// ClientPatience is the default time for which a request is repeated (protocol).
	ClientPatience = 60 * time.Second
	// ClientPoll is the interval at which the client polls for what it waits for. A controller
	// answers from memory.
	ClientPoll = time.Second
)

// The demonstration (`try`), which runs controllers against simulated services.
const (
	// SandboxStep is the interval at which the simulation's clock is advanced to the real time.
	SandboxStep = 10 * time.Millisecond
	// SandboxPort is the first port of the simulated services and the controllers.
	SandboxPort = 7000
	// SandboxTimeout is the timeout of the whole demonstration.
	SandboxTimeout = time.Minute
)

package tuning

import "time"

// Stored records and transactions.
const (
	// PreconditionsPerOp is the number of preconditions that the state service accepts in a
	// transaction for each put or delete that it allows (protocol).
	PreconditionsPerOp = 4
	// RangeTaskBytes is the maximum number of bytes that a task with names of the usual length
	// takes in the record of its task range. It determines how many tasks a range holds.
	RangeTaskBytes = 220
	// ChangeBytes is the number of bytes that a changed task may add to the record of its task
	// range.
	ChangeBytes = 100
	// BatchTaskBytes is the minimum number of bytes that a task takes in a batch record. With
	// BatchFillShare it determines how many tasks one record gets.
	BatchTaskBytes = 12
	// BatchFillShare is the share of a value's maximum size up to which batch records are filled.
	// The rest is for the growth of their tasks' entries.
	BatchFillShare = 0.7
	// MaxBatchTasks is the maximum number of tasks in a batch record; it bounds the cost of
	// reading one.
	MaxBatchTasks = 20_000
	// BatchEvery is the minimum pause between two scheduling cycles that write batch records, and
	// between two commits of an owner's ended tasks. The tasks that one cycle places, and those
	// that end meanwhile, then share records. While writes are scarce the pause for ended tasks is
	// GatherFor. The first commit after a longer pause does not wait.
	BatchEvery = 300 * time.Millisecond
	// BatchEveryScarce is the pause between scheduling cycles while writes are scarce.
	BatchEveryScarce = 400 * time.Millisecond
	// TasksPerBatchWrite is the number of placed tasks that count as one write of a batch record
	// when a scheduling cycle estimates its writes.
	TasksPerBatchWrite = 6
	// TxnBytes is the estimated size, in bytes, up to which a transaction is filled. Its real size
	// is checked before it is sent and must not exceed MaxRequestBody.
	TxnBytes = 48 << 10
	// MaxClaimBytes is the maximum size, in bytes, of the claims in one transaction where they take
	// several values. The rest of MaxRequestBody is for keys and preconditions, some 100 bytes
	// each. 4,000 names of 12 bytes take 60,000.
	MaxClaimBytes = 60 << 10
	// MaxQuarantined is the maximum number of decisions in quarantine: those that no transaction
	// can hold or that the state service refused. They are caused by a fault in a program, which
	// may produce a decision for each machine.
	MaxQuarantined = 5000
	// QuarantineFirst is the time for which a decision is first quarantined, doubled each time up
	// to MaxQuarantine. Each refusal costs a request and two log lines, and is not resolved before
	// the state or the service changes.
	QuarantineFirst = 10 * time.Second
	// MaxQuarantine is the maximum of QuarantineFirst after doubling.
	MaxQuarantine = 10 * time.Minute
)

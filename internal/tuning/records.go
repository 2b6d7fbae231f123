package tuning

import "time"

// Stored records and transactions.
const (
	// PreconditionsPerOp: conditions that the state service takes for each put or delete
	// that it allows in a transaction (protocol).
	PreconditionsPerOp = 4
	// RangeTaskBytes, bytes: what a task takes of the record of its task range, at most,
	// with names of the usual length; decides how many tasks a range holds.
	RangeTaskBytes = 220
	// ChangeBytes, bytes: what a changed task may add to the record of a task range.
	ChangeBytes = 100
	// BatchTaskBytes, bytes: what a task takes of a batch record, at least; with the share of
	// BatchFillShare it decides how many tasks are put into one.
	BatchTaskBytes = 12
	// BatchFillShare: share of the most bytes of a value up to which batch records are filled; the
	// rest is for what their tasks' records grow by.
	BatchFillShare = 0.7
	// MaxBatchTasks: tasks in a batch record; bounds what reading one takes.
	MaxBatchTasks = 20_000
	// BatchEvery: the leader gives tasks away in batch records, and owners write ends into
	// them, at most this often: what one look places, and what ends meanwhile, shares
	// batch records. While changes are short it is GatherFor for ends and BatchEveryScarce for the
	// leader. The first after a pause waits for nothing.
	BatchEvery       = 300 * time.Millisecond
	BatchEveryScarce = 400 * time.Millisecond
	// MaxSharedBatches: tasks given away that may be counted as one change of batch records.
	MaxSharedBatches = 6
	// TxnBytes, bytes: up to where a transaction is filled by guess. What is sent is
	// counted and must stay below MaxRequestBody.
	TxnBytes = 48 << 10
	// MaxClaimBytes, bytes: claims in one transaction, where one value does not hold them. The
	// rest of MaxRequestBody is for keys and conditions, some 100 bytes each. 4,000 names of
	// 12 bytes take 60,000.
	MaxClaimBytes = 60 << 10
	// MaxQuarantined: decisions kept that no transaction could hold or that were refused;
	// they are faults of a program, one of which a bug may make for each machine.
	MaxQuarantined = 5000
	// QuarantineFirst, MaxQuarantine: how long such a decision is not made again, doubled each
	// time: a refusal costs a request and two lines of the log, and what it waits for
	// is a change of the state or of the service.
	QuarantineFirst = 10 * time.Second
	MaxQuarantine   = 10 * time.Minute
)

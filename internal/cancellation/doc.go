// Package cancellation ensures that every task of a job has ended within cancel_s after the user
// was told that the job is cancelled, even while the state service is unavailable. It consists of
// four parts:
//
//   - AckLog: each controller keeps a log of the cancellations that it has acknowledged to users,
//     and sends the entries to the other controllers.
//   - PeerAcks: a controller that receives entries acts on them even if its own mirror lags.
//   - Proof: the owner of a shard renews the leases of its workers only while it can prove that it
//     knows every cancellation that any controller has acknowledged.
//   - StopRelay: if an owner cannot be reached, the controller that acknowledged the cancellation
//     sends stop commands directly to the owner's machines.
//
// docs/notes/cancellation.md explains why all four are needed. The package does no I/O and reads no
// clock.
package cancellation

// Package cancellation makes sure that every task of a job whose cancellation a user was told of is gone within
// cancel_s, even while the state service answers nobody. It consists of four parts:
//
//   - AckLog: each controller keeps a log of the cancellations that it has acknowledged to users, and sends its entries
//     to the other controllers.
//   - PeerAcks: a controller that receives entries acts on them although its own mirror may lag.
//   - Proof: the owner of a shard renews its workers' leases only while it can prove that it knows every cancellation
//     that any controller has acknowledged.
//   - StopRelay: where an owner cannot be reached, the controller that acknowledged the cancellation sends stop
//     commands to the owner's machines itself.
//
// Why all four are needed: docs/notes/cancellation.md. The package has no IO and no clock.
package cancellation

// Package readconsistency gives users monotonic reads of jobs: a job is accepted, then done or
// cancelled, and no controller answers a user with a state older than one that another controller
// has already acknowledged. Three rules together ensure this (docs/incidents/older-answers.md):
//
//   - A controller that is about to acknowledge a new state records it, sends it to the other
//     controllers in the same turn of the event loop, and delays the answer for a short time
//     (AckLog.Acknowledge). A controller that has received it never answers with an older state
//     (AckLog.Latest).
//   - An answer that may become outdated, "no such job" or a live job, must come from a read of the
//     state service that was sent after the question arrived, and must leave within the same short
//     time after the read was sent. Thus, even if messages between controllers are lost, an answer
//     that was read before a change has left before that change is acknowledged.
//   - A read that took longer is repeated, and eventually the user is told to retry. A mirror that
//     is not known to be that recent is used for an answer only if all other controllers have just
//     said what they have acknowledged since the question arrived (PeerProof).
//
// The package does no I/O and reads no clock.
package readconsistency

// Package readconsistency gives users monotonic reads of jobs: a job is accepted, then done or
// cancelled, and no controller answers a user with a state older than one that another controller
// has already acknowledged. These rules together ensure this (docs/incidents/older-answers.md):
//
//   - A controller that is about to acknowledge a new state records it, sends it to the other
//     controllers in the same turn of the event loop, and delays the answer (AckLog.Acknowledge). A
//     controller that has received it never answers with an older state (AckLog.Latest).
//   - The end of a job is delayed until every other controller has confirmed that it knows of it, or
//     until tuning.AckHold has passed. An acceptance is delayed for tuning.AckDelay.
//   - An answer that may become outdated must come from a read of the state service that was sent
//     after the question arrived. "No such job" must leave within tuning.MaxReadAge after the read
//     was sent, a live job within tuning.ReadLease (AckLog.MaxLiveReadAge). Thus, even if messages
//     between controllers are lost, an answer that was read before a change has left before that
//     change is acknowledged.
//   - A read that took longer is repeated, and eventually the user is told to retry.
//
// Beside a controller of a version that does not confirm, a live job is answered like an unknown one,
// within tuning.MaxReadAge. From a mirror that is not known to be recent enough a live job is also
// answered if all other controllers have just said what they have acknowledged since the question
// arrived (PeerProof).
//
// The package does no I/O and reads no clock.
package readconsistency

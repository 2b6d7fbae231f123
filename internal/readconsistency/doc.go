// Package readconsistency gives users monotonic reads of jobs: accepted, then done or cancelled. No controller answers
// a user with an older state than one that another controller has acknowledged. Three rules ensure that together
// (docs/incidents/older-answers.md):
//
//   - A controller that is about to acknowledge a new state records it, sends it to the other controllers in the same
//     turn of the event loop, and lets the answer leave a moment later (AckLog.Acknowledge). A controller that has
//     received it answers with nothing older (AckLog.Latest).
//   - An answer that may be outdated later, "no such job" or a live job, comes from a read of the state service that
//     was sent after the question came, and leaves no later than that same moment after the read was sent. So even
//     where messages between controllers are lost, an answer read before the change has left before the change is
//     acknowledged.
//   - A read that took longer is repeated, and in the end the user is told to retry. A mirror that is not known to be
//     that recent answers later, by what was received from peers, and not at all while messages of another member of
//     the view don't arrive.
//
// The package has no IO and no clock.
package readconsistency

// Package reconcile is how a controller that starts compares what machines report with what is recorded: from which
// machines it has received heartbeats, what differs, and what may be decided before all of it is known. After all
// controllers were down nothing else knows it (docs/recovery.md). It has no IO and no clock.
package reconcile

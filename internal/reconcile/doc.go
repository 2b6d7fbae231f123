// Package reconcile reconciles the records with the heartbeats of machines after a controller
// starts. It tracks which machines have sent heartbeats and where these differ from the records,
// and defines which decisions are allowed before reconciliation is complete. After all controllers
// were down, this is the only way to learn the state of the machines (docs/recovery.md). The
// package performs no IO and reads no clock.
package reconcile

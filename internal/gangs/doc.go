// Package gangs holds the rules for gangs: jobs of several tasks that start together and share one
// attempt number. It derives the phase of a gang, selects its machines, and determines when its
// tasks are launched. It has no I/O and no clock.
package gangs

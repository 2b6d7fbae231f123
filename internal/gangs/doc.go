// Package gangs holds the rules for gangs: jobs of several tasks that start together and share one
// attempt number. It derives the phase of a gang, selects its machines, and determines when its
// tasks are launched. It does no IO and reads no clock.
package gangs

// Package gangs decides for gangs, jobs of more than one task whose tasks start together under one attempt: where a
// gang stands, which machines hold it, and when its tasks are launched. It has no IO and no clock.
package gangs

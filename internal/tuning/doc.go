// Package tuning holds the constants of harrierreel, each with its unit and, where a reader
// would wonder, the reason for its value. Those that operators may change are defaults here;
// the operators' HCL file overrides them (see package settings).
package tuning

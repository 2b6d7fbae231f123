// Package tuning holds every constant of harrierreel, each with its unit and
// the reason for its value. Values that operators may change are defaults
// here and are set in the HCL file (see package settings).
package tuning

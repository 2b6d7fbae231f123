// Package examples holds sample files that users start from.
package examples

import _ "embed"

// KisiiPayouts is the pipeline that `harrierreel try --demo` runs.
//
//go:embed kisii-payouts.yaml
var KisiiPayouts []byte

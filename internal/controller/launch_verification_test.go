package controller

import (
	"maps"
	"testing"

	"github.com/harrierreel/harrierreel/internal/store"
)

// Guards against jobs that hold back each other's verification by turns, as long as the watch lags.
func TestChangedJobStaysKnownAtNextConflict(t *testing.T) {
	const first, second = "job/wk-000001", "job/wk-000002"
	mirror := map[string]uint64{first: 3, second: 5}
	mirrored := func(key string) uint64 { return mirror[key] }
	compared := []store.Precondition{{Key: first, Revision: 3}, {Key: second, Revision: 5}}
	var verification launchVerification
	verification.recordChanged(compared, []string{first}, mirrored)
	verification.recordChanged(compared, []string{second}, mirrored)
	if want := map[string]uint64{first: 3, second: 5}; !maps.Equal(verification.changed, want) {
		t.Fatalf("changed: %v, want %v", verification.changed, want)
	}
	mirror[first] = 8
	verification.recordChanged(compared[1:], []string{second}, mirrored)
	if want := map[string]uint64{second: 5}; !maps.Equal(verification.changed, want) {
		t.Errorf("changed: %v, want %v once the mirror shows the first change", verification.changed, want)
	}
}

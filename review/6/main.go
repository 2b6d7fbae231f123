// Command 6 shows a gang that a controller starts after its user was told that the job is cancelled:
// its zone is cut off, so that it does not know of the cancellation.
package main

import (
	"os"
	"time"

	"github.com/harrierreel/harrierreel/review/rig"
)

const (
	zone    = "westlands"      // perch-1 and all kiondo-nodes are there
	watched = 35 * time.Second // from the cut on, with the zone still cut off
)

func main() { os.Exit(rig.Run(os.Args[1], rig.UshangaOps(), play)) }

// play plays the case and returns the exit code.
func play(r *rig.Rig) int {
	gang := rig.NewGang(r, r.Nodes[0]) // the user asks outside the zone
	if gang == nil {
		return 2
	}
	time.Sleep(time.Second)
	cutAt := time.Now()
	if os.Getenv("TROUBLE") != "0" {
		r.CutZone(zone)
	}
	told, ok := gang.Cancel()
	if !ok {
		return 2
	}
	time.Sleep(time.Until(cutAt.Add(watched)))
	return gang.Judge(told)
}

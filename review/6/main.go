// Command 6 shows a task that a controller starts after its user was told that the job is cancelled:
// the controller stood still for 1.3 s and goes on before it has read what arrived meanwhile.
package main

import (
	"os"
	"syscall"
	"time"

	"github.com/harrierreel/harrierreel/review/rig"
)

const (
	standstill = 1300 * time.Millisecond
	// before is how long before the launch that is held back the standstill begins.
	before = 950 * time.Millisecond
)

func main() { os.Exit(rig.Run(os.Args[1], rig.UshangaOps(), play)) }

// play plays the case and returns the exit code.
func play(r *rig.Rig) int {
	gang := rig.NewGang(r, r.Nodes[0])
	if gang == nil {
		return 2
	}
	owner := r.Nodes[1] // of all kiondo-nodes, by the machines' reports
	if r.Cloud.Workers()[0].Owner() != owner.Name {
		return 2
	}
	time.Sleep(time.Until(gang.Due.Add(-before)))
	if os.Getenv("TROUBLE") != "0" {
		r.Signal(owner, syscall.SIGSTOP)
		time.AfterFunc(standstill, func() { r.Signal(owner, syscall.SIGCONT) })
	}
	told, ok := gang.Cancel()
	if !ok {
		return 2
	}
	time.Sleep(10 * time.Second)
	return gang.Judge(told)
}

package part

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/tuning"
	"github.com/harrierreel/harrierreel/internal/workers"
)

// visit is a report of another owner's machine that may be an old one.
type visit struct {
	owner string
	at    time.Time
}

// cameHere takes in a report of another owner's machine. It complains if it shows a token of
// this view, and so is from after the owner's first word to the machine, or if the owner
// itself tells that it does not hear the machine. Copies of reports from under an earlier
// view show neither, and where the machine never came they pass for news one after another:
// taken for complaints they had a sound controller left out of the view (meet-next-views,
// docs/incidents/reports-for-next.md).
func (pt *Part) cameHere(owner string, r *workers.Report) {
	_, quiet := pt.Quiet[owner][r.Host]
	if quiet || r.Baton/workers.BatonSpan >= pt.Epoch() {
		delete(pt.visits, r.Host)
		pt.Complain(owner, r.Host, true)
		return
	}
	pt.visits[r.Host] = visit{owner, pt.Now}
}

// believe has visits that were doubted complain after all, once the owner tells that it does
// not hear those machines.
func (pt *Part) believe(owner string) {
	for _, host := range book.Sorted(pt.visits) {
		v := pt.visits[host]
		_, quiet := pt.Quiet[owner][host]
		switch {
		case pt.Now.Sub(v.at) > tuning.ComplaintGap:
			delete(pt.visits, host)
		case v.owner == owner && quiet:
			delete(pt.visits, host)
			pt.Complain(owner, host, true)
		}
	}
}

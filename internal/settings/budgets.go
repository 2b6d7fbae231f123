package settings

import (
	"math"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// BaseLoad is what goes on while nothing is decided, as shares of what the deployment
// allows: the requests of all controllers, those of one that follows of its own part, the
// same while calls wait, the leader's calls to the cloud, and its changes.
type BaseLoad struct{ Requests, Follower, Yielding, Calls, Changes float64 }

// BaseLoad computes it, with users who ask all the time and changes that keep all watches
// busy, which is the most that it may be. Pages is how many the cloud's list has. The epoch
// is read for polls less often while the budget holds other calls back.
func (k Cluster) BaseLoad(pages int) BaseLoad {
	n := float64(max(k.Size, 1))
	renew := 1 / tuning.MemberRenew.Seconds()
	watch := k.State.RPS * tuning.WatchShare / n
	each := renew + watch + 1/tuning.QueryGap.Seconds()
	least := renew + watch + 1/tuning.QueryRetry.Seconds()
	part := k.State.RPS * tuning.StateBudget
	if n > 1 {
		part *= (1 - tuning.LeaderShare) / (n - 1)
	}
	every := max(tuning.ListEvery.Seconds(), float64(pages)/(k.Cloud.RPS*tuning.ListShare))
	return BaseLoad{
		Requests: n * each / k.State.RPS, Follower: each / part, Yielding: least / part,
		Calls:   (float64(pages)/every + 1/tuning.CatalogEvery.Seconds()) / (k.Cloud.RPS * tuning.CloudBudget),
		Changes: 1 / tuning.Step.Seconds() / k.State.WriteRPS,
	}
}

// Fits is a line of the log about how the program fits the deployment: the times that
// follow from the settings, and what standing still may take of each budget, a list of one
// page assumed.
func (k Cluster) Fits() []any {
	w, s := k.Workers, k.BaseLoad(1)
	pct := func(share float64) int { return int(math.Round(100 * share)) }
	return []any{
		"asked_s",
		w.Late().Seconds(),
		"quiet_s",
		w.UnresponsiveAfter().Seconds(),
		"gone_s",
		w.GoneBy().Seconds(),
		"cancel_delete_s",
		k.CancelDelete().Seconds(),
		"lease_s_least",
		w.MinLease(tuning.MemberTTL).Seconds(),
		"cancel_s_least",
		max(k.minCancel(), seconds(w.LeaseS)+tuning.CancelSpare).Seconds(),
		"requests_pct",
		pct(s.Requests),
		"follower_pct",
		pct(s.Follower),
		"follower_yields_pct",
		pct(s.Yielding),
		"cloud_pct",
		pct(s.Calls),
	}
}

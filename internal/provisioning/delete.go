package provisioning

import (
	"net/http"
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// deleteMachines sends a delete request for as many of the machines as one request may name. If the
// machines do not fill a request, it sends at most one per deleteInterval.
func (p *Provisioner) deleteMachines(names []string) {
	c := &p.cloud
	now := p.state.Now
	if len(names) == 0 || len(names) < tuning.MaxDeleteNames && now.Sub(c.deleteSentAt) < p.deleteInterval() {
		return
	}
	c.deleteSentAt = now
	// Machines with cancelled tasks come first, because their time limit is close, then those with
	// other tasks, which cannot be freed before the response.
	sort.SliceStable(names, func(i, j int) bool {
		return p.deletePriority(names[i]) > p.deletePriority(names[j])
	})
	names = names[:min(len(names), tuning.MaxDeleteNames)]
	for _, name := range names {
		c.deletingAt[name] = now
	}
	body := jobs.Encode(map[string][]string{"hosts": names})
	p.callFirst(http.MethodPost, "/hosts/delete", body, func(status int, _ []byte, err error) {
		p.handleDeleteResponse(names, status, err)
	})
}

// handleDeleteResponse handles the cloud's response to a delete request.
func (p *Provisioner) handleDeleteResponse(names []string, status int, err error) {
	c := &p.cloud
	for _, name := range names {
		if err != nil {
			continue
		}
		// A refused request was not carried out, so its machines go into the next one: the cloud
		// may be available again long before an unanswered request would be repeated.
		delete(c.deletingAt, name)
		if status == http.StatusOK {
			c.deleteConfirmed[name] = true
			c.deletedAt[name] = p.state.Now
			delete(c.listed, name)
		}
	}
	p.decommissionedAt = time.Time{} // frees the tasks on them at once
}

// deletePriority returns a machine's priority for deletion. The highest are deleted first.
func (p *Provisioner) deletePriority(machine string) int {
	const empty, holdsTasks, holdsCancelledTask = 0, 1, 2
	priority := empty
	for _, task := range p.state.TasksOnMachine[machine] {
		if record := task.Job.Record; record != nil && record.State == jobs.Cancelled {
			return holdsCancelledTask
		}
		priority = holdsTasks
	}
	return priority
}

// deleteInterval returns the time between two delete requests. It makes deletes share requests if
// the cloud's rate limit is low.
func (p *Provisioner) deleteInterval() time.Duration {
	return jobs.Seconds(1 / (p.config.Cluster.Cloud.RPS * tuning.DeleteShare))
}

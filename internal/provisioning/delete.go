package provisioning

import (
	"net/http"
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// deleteMachines sends a delete request for so many of the machines as it may name, unless it
// is better to wait for more.
func (p *Provisioner) deleteMachines(names []string) {
	c := &p.cloud
	now := p.state.Now
	if len(names) == 0 || len(names) < tuning.MaxDeleteNames && now.Sub(c.deleteSentAt) < p.deleteEvery() {
		return
	}
	c.deleteSentAt = now
	// Machines with cancelled tasks first, whose time runs out, then those with others, which
	// wait for the answer.
	sort.SliceStable(names, func(i, j int) bool {
		return p.deletePriority(names[i]) > p.deletePriority(names[j])
	})
	names = names[:min(len(names), tuning.MaxDeleteNames)]
	for _, name := range names {
		c.deletingAt[name] = now
	}
	body := jobs.Encode(map[string][]string{"hosts": names})
	p.callFirst(http.MethodPost, "/hosts/delete", body, func(status int, _ []byte, err error) {
		p.deleteAnswered(names, status, err)
	})
}

// deleteAnswered takes in the cloud's answer to a delete request.
func (p *Provisioner) deleteAnswered(names []string, status int, err error) {
	c := &p.cloud
	for _, name := range names {
		if err != nil {
			continue
		}
		// One that was refused was not carried out, and is sent again with the next: the
		// cloud may be back long before an unanswered one would be repeated.
		delete(c.deletingAt, name)
		if status == http.StatusOK {
			c.deleteConfirmed[name] = true
			c.deletedAt[name] = p.state.Now
			delete(c.listed, name)
		}
	}
	p.decommissionedAt = time.Time{} // the tasks on them are freed at once
}

// deletePriority is the order in which machines are deleted, the highest first.
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

// deleteEvery is the pause between two delete requests, so that deletes share requests where
// the cloud allows few.
func (p *Provisioner) deleteEvery() time.Duration {
	return jobs.Seconds(1 / (p.config.Cluster.Cloud.RPS * tuning.DeleteShare))
}

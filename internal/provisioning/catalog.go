package provisioning

import (
	"encoding/json"
	"net/http"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// readCatalog reads the cloud's catalogue and stores the machine types that have changed.
func (p *Provisioner) readCatalog() {
	c := &p.cloud
	c.readingCatalog = true
	p.call(http.MethodGet, "/catalog", nil, func(status int, body []byte, err error) {
		c.readingCatalog = false
		machineTypes := decodeCatalog(status, body, err)
		if machineTypes == nil {
			p.rereadCatalogSoon()
			if c.catalog == nil {
				c.catalogAt = p.state.Now
			}
			return
		}
		c.catalogAt = p.state.Now
		c.catalog = machineTypes
		p.collaborators.Commits.Commit(p.machineTypeChanges(machineTypes))
	})
}

// rereadCatalogSoon schedules the next reading of the catalogue after tuning.CatalogAgain.
func (p *Provisioner) rereadCatalogSoon() {
	p.cloud.catalogAt = p.state.Now.Add(tuning.CatalogAgain - tuning.CatalogEvery)
}

// machineTypeChanges returns the decisions that store the machine types that differ from the stored
// ones. Prices change often and only the leader needs them, so they are not stored.
func (p *Provisioner) machineTypeChanges(machineTypes map[string]*jobs.MachineType) []decide.Decision {
	var decisions []decide.Decision
	for _, name := range clusterstate.SortedKeys(machineTypes) {
		unpriced := *machineTypes[name]
		unpriced.Hourly, unpriced.SpotHourly = 0, 0
		stored := p.state.MachineTypes[name]
		if stored != nil && string(jobs.Encode(stored)) == string(jobs.Encode(unpriced)) {
			continue
		}
		decisions = append(decisions, decide.Decision{
			Writes: []store.Write{decide.Put(MachineTypePrefix+name, unpriced)},
			Urgent: true,
			OnSettled: func(committed bool) {
				// Jobs that need a machine type are not accepted until it is stored.
				if !committed {
					p.rereadCatalogSoon()
				}
			},
		})
	}
	return decisions
}

// decodeCatalog decodes the response to a request for the catalogue. It returns nil if the request
// failed or the response is invalid. Machine types whose names cannot be part of a key are left
// out.
func decodeCatalog(status int, body []byte, err error) map[string]*jobs.MachineType {
	var answer struct {
		MachineTypes []*jobs.MachineType `json:"builds"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &answer) != nil ||
		len(answer.MachineTypes) == 0 {
		return nil
	}
	machineTypes := map[string]*jobs.MachineType{}
	for _, machineType := range answer.MachineTypes {
		if machineType != nil && fleet.ValidName(machineType.Name) {
			machineTypes[machineType.Name] = machineType
		}
	}
	return machineTypes
}

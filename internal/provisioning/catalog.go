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

// readCatalog reads the catalogue and stores the machine types that changed.
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

// rereadCatalogSoon has the catalogue read again before its usual time.
func (p *Provisioner) rereadCatalogSoon() {
	p.cloud.catalogAt = p.state.Now.Add(tuning.CatalogAgain - tuning.CatalogEvery)
}

// machineTypeChanges is the decisions that store the types that differ from the stored ones.
// Prices move and concern the leader alone, so they are left out of what all controllers know.
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
				// Until a type is stored no job that needs it is accepted.
				if !committed {
					p.rereadCatalogSoon()
				}
			},
		})
	}
	return decisions
}

// decodeCatalog reads the answer to a request for the catalogue, nil if it is none. Types
// whose names cannot be part of a key are left out.
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

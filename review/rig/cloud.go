package rig

import (
	"net/http"
	"sync"
	"time"
)

// MachineType is an entry of the cloud's catalogue.
type MachineType struct {
	Name         string   `json:"name"`
	Cores        float64  `json:"cores"`
	Accelerators float64  `json:"accelerators"`
	MemoryGB     float64  `json:"memory_gb"`
	CacheGB      float64  `json:"cache_gb"`
	PullGBPerS   float64  `json:"pull_gb_per_s"`
	Hourly       float64  `json:"hourly"`
	LowPrice     float64  `json:"low_price"`
	ReadyS       float64  `json:"ready_s"`
	Sites        []string `json:"sites"`
}

// Cloud stands in for the cloud. It has no capacity beyond the machines that run at the start.
type Cloud struct {
	record  *Record
	types   []MachineType
	mu      sync.Mutex
	workers []*Worker
	started time.Time
}

// ServeHTTP answers a controller's request.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/catalog":
		answer(w, http.StatusOK, map[string]any{"builds": c.types})
	case r.URL.Path == "/hosts/delete":
		c.remove(w, r)
	case r.URL.Path == "/hosts" && r.Method == http.MethodPost:
		answer(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
	case r.URL.Path == "/hosts":
		c.list(w, r.URL.Query().Get("since"))
	default:
		answer(w, http.StatusBadRequest, map[string]string{"error": "unknown path"})
	}
}

func (c *Cloud) list(w http.ResponseWriter, since string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := []map[string]any{}
	for _, worker := range c.workers {
		if worker.Name > since {
			hosts = append(hosts, map[string]any{
				"uid":      worker.Name,
				"endpoint": worker.endpoint,
				"build":    worker.machineType.Name,
				"site":     worker.zone,
				"loaner":   false,
				"status":   "running",
				"age_s":    time.Since(c.started).Seconds(),
			})
		}
	}
	answer(w, http.StatusOK, map[string]any{"hosts": hosts, "has_next": false})
}

func (c *Cloud) remove(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Hosts []string `json:"hosts"`
	}
	if readJSON(r, &request) != nil || len(request.Hosts) > 100 {
		answer(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range request.Hosts {
		for i, worker := range c.workers {
			if worker.Name == name {
				c.record.Add("cloud: %s deleted", name)
				worker.Stop()
				c.workers = append(c.workers[:i:i], c.workers[i+1:]...)
				break
			}
		}
	}
	answer(w, http.StatusOK, map[string]any{})
}

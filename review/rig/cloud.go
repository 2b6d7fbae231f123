package rig

import (
	"fmt"
	"net/http"
	"slices"
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

// Capacity is how many ordinary machines of a type the cloud has in a zone.
type Capacity struct {
	Machine
	Count int
}

// Cloud stands in for the cloud. It has no spot machines, and no ordinary ones beyond Options.Capacity.
type Cloud struct {
	rig     *Rig
	mu      sync.Mutex
	hosts   []*host
	last    int                 // number of the machine created last
	rentals map[string][]string // by the name of the request
}

// host is a machine as the cloud knows it.
type host struct {
	name string
	Machine
	worker  *Worker // nil while it boots
	created time.Time
}

// ServeHTTP answers a controller's request.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/catalog":
		answer(w, http.StatusOK, map[string]any{"builds": c.rig.options.Types})
	case r.URL.Path == "/hosts/delete":
		c.remove(w, r)
	case r.URL.Path == "/hosts" && r.Method == http.MethodPost:
		c.rent(w, r)
	case r.URL.Path == "/hosts":
		c.list(w, r.URL.Query().Get("since"))
	default:
		answer(w, http.StatusBadRequest, map[string]string{"error": "unknown path"})
	}
}

// add creates a machine, which is up after its boot time.
func (c *Cloud) add(machine Machine, boot time.Duration) *host {
	c.last++
	h := &host{name: fmt.Sprintf("i-%06d", c.last), Machine: machine, created: time.Now()}
	c.hosts = append(c.hosts, h)
	time.AfterFunc(boot, func() {
		worker, err := newWorker(c.rig, h.name, c.rig.options.Types[machine.Type], machine.Zone)
		if err != nil {
			c.rig.Record.Add("cloud: %s doesn't come up: %v", h.name, err)
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		h.worker = worker
		if !slices.Contains(c.hosts, h) {
			worker.Stop()
		}
	})
	return h
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Hire   string `json:"hire"`
		Build  string `json:"build"`
		Site   string `json:"site"`
		Loaner bool   `json:"loaner"`
		Count  int    `json:"count"`
	}
	if readJSON(r, &request) != nil || request.Count < 1 || request.Count > 50 {
		answer(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	names, known := c.rentals[request.Hire]
	if !known && !request.Loaner {
		for range request.Count {
			for _, capacity := range c.rig.options.Capacity {
				if c.rig.options.Types[capacity.Type].Name == request.Build && capacity.Zone == request.Site &&
					c.inUse(capacity.Machine) < capacity.Count {
					names = append(names, c.add(capacity.Machine, c.rig.options.Boot).name)
				}
			}
		}
	}
	c.rig.Record.Add("cloud: rent %d %s in %s, spot %v: %v",
		request.Count, request.Build, request.Site, request.Loaner, names)
	if len(names) == 0 {
		answer(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	c.rentals[request.Hire] = names
	answer(w, http.StatusOK, map[string]any{"hosts": names})
}

func (c *Cloud) inUse(machine Machine) int {
	count := 0
	for _, h := range c.hosts {
		if h.Machine == machine {
			count++
		}
	}
	return count
}

func (c *Cloud) list(w http.ResponseWriter, since string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := []map[string]any{}
	for _, h := range c.hosts {
		age := time.Since(h.created).Seconds()
		if h.name <= since || age < c.rig.options.ListLagS && c.rig.options.Boot > 0 {
			continue
		}
		entry := map[string]any{
			"uid": h.name, "endpoint": "", "build": c.rig.options.Types[h.Type].Name, "site": h.Zone, "loaner": false,
			"status": "booting", "age_s": age,
		}
		if h.worker != nil {
			entry["endpoint"], entry["status"] = h.worker.endpoint, "running"
		}
		hosts = append(hosts, entry)
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
	c.hosts = slices.DeleteFunc(c.hosts, func(h *host) bool {
		gone := slices.Contains(request.Hosts, h.name)
		if gone {
			c.rig.Record.Add("cloud: %s deleted", h.name)
			if h.worker != nil {
				h.worker.Stop()
			}
		}
		return gone
	})
	answer(w, http.StatusOK, map[string]any{})
}

// Workers returns the workers of the machines that are up.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var workers []*Worker
	for _, h := range c.hosts {
		if h.worker != nil {
			workers = append(workers, h.worker)
		}
	}
	return workers
}

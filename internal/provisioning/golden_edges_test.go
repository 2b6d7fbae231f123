package provisioning

import (
	"bytes"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/goldentest"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

const goldenCatalog = `{"builds":[` +
	`{"name":"g4","cores":32,"accelerators":4,"memory_gb":256,"cache_gb":100,` +
	`"pull_gb_per_s":1.5,"hourly":10,"low_price":3.25,"ready_s":20,"sites":["a","b"]},` +
	`{"name":"c8","cores":8,"accelerators":0,"memory_gb":64,"cache_gb":50,` +
	`"pull_gb_per_s":0.5,"hourly":2,"low_price":0,"ready_s":10,"sites":["a"]},` +
	`{"name":"no name"},null]}`

// The decoding of the cloud's catalogue does not change.
func TestGoldenCatalog(t *testing.T) {
	goldentest.Bytes(t, "catalog.json", []byte(goldenCatalog))
	want := map[string]*jobs.MachineType{
		"g4": {
			Name:         "g4",
			Cores:        32,
			Accelerators: 4,
			MemoryGB:     256,
			CacheGB:      100,
			ImageGBPerS:  1.5,
			Hourly:       10,
			SpotHourly:   3.25,
			BootS:        20,
			Zones:        []string{"a", "b"},
		},
		"c8": {
			Name:        "c8",
			Cores:       8,
			MemoryGB:    64,
			CacheGB:     50,
			ImageGBPerS: 0.5,
			Hourly:      2,
			BootS:       10,
			Zones:       []string{"a"},
		},
	}
	goldentest.RequireNonZeroFields(t, want["g4"])
	if got := decodeCatalog(200, goldentest.Read(t, "catalog.json"), nil); !reflect.DeepEqual(got, want) {
		t.Errorf("read as %s", jobs.Encode(got))
	}
}

// The requests for the pages of the cloud's list, and their decoding, do not change.
func TestGoldenList(t *testing.T) {
	full := fleet.ListedMachine{
		Name:        "i-0001",
		Endpoint:    "10.0.0.9:7000",
		MachineType: "g4",
		Zone:        "north",
		Spot:        true,
		Status:      "running",
		AgeS:        12.5,
	}
	goldentest.RequireNonZeroFields(t, full)
	goldentest.JSON(t, "listed.json", full)
	pages := []string{
		`{"hosts":[` + string(goldentest.Read(t, "listed.json")) +
			`,{"uid":"i 2"},{"uid":"i-0003","status":"booting"}],"has_next":true}`,
		`{"hosts":[{"uid":"i-0004","status":"gone","age_s":7}],"has_next":false}`,
	}
	var out bytes.Buffer
	var got map[string]fleet.ListedMachine
	read := false
	send := func(target string, done responseFunc) {
		page := pages[0]
		pages = pages[1:]
		fmt.Fprintf(&out, "GET %s\n%s\n", target, page)
		done(200, []byte(page), nil)
	}
	readPages(send, func(machines map[string]fleet.ListedMachine, complete bool) {
		got, read = machines, complete
	})
	goldentest.Bytes(t, "list.txt", out.Bytes())
	want := map[string]fleet.ListedMachine{
		"i-0001": full,
		"i-0003": {Name: "i-0003", Status: "booting"},
		"i-0004": {Name: "i-0004", Status: "gone", AgeS: 7},
	}
	if !read || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %s", jobs.Encode(got))
	}
}

// Requests to the cloud do not change, nor does the state after each kind of response.
func TestGoldenCloud(t *testing.T) {
	for name, launchResponse := range map[string]string{
		"whole":       `200 {"hosts":["i-1","i-2","i-3"]}`,
		"part":        `200 {"hosts":["i-1"]}`,
		"no-capacity": `503 {"error":"no capacity"}`,
		"away":        `503 {"error":"away"}`,
		"malformed":   `400 {"error":"no such build"}`,
		"too-many":    `429 {}`,
		"broken":      `500 {}`,
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			l := newLeader(t)
			l.applyMachine("i-8", fleet.MachineRecord{State: fleet.Deleting, MachineType: "g4", Zone: "a"})
			l.applyMachine("i-9", fleet.MachineRecord{State: fleet.Deleting, MachineType: "g4", Zone: "b"})
			l.send = func(method, target string, body []byte, timeout time.Duration, done responseFunc) {
				response := goldenResponse(method, target, launchResponse)
				out.Write(http1.AppendRequest(nil, method, target, "cloud:1", body, false))
				fmt.Fprintf(&out, "\nwithin %s -> %s\n\n", timeout, response)
				status := 0
				_, _ = fmt.Sscan(response, &status)
				done(status, []byte(response[len("200 "):]), nil)
			}
			l.submit("wk-000001", 12)
			l.run(2)
			fmt.Fprintf(
				&out,
				"asked for: %s\ntypes: %s\nnot asked for again: %q\n",
				jobs.Encode(l.cloud.requests),
				jobs.Encode(l.state.MachineTypes),
				slices.Sorted(maps.Keys(l.cloud.refusedUntil)),
			)
			goldentest.Bytes(t, "cloud-"+name+".txt", out.Bytes())
		})
	}
}

// goldenResponse returns the cloud's response to a request: its status and body.
func goldenResponse(method, target, launchResponse string) string {
	switch {
	case target == "/catalog":
		return `200 ` + goldenCatalog
	case target == "/hosts/delete":
		return `200 {}`
	case method == "POST":
		return launchResponse
	}
	return `200 {"hosts":[` +
		`{"uid":"i-8","build":"g4","site":"a","status":"running","age_s":500},` +
		`{"uid":"i-9","build":"g4","site":"b","status":"running","age_s":500}]}`
}

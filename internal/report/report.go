// Package report has the state of a process of a fleet as operators see it: the JSON page that the process serves beside its
// metrics, and that egretctl prints.
//
//	page := report.Process{Node: "proxy-1", Services: []report.Service{lane.Report()}}
//	err := json.NewEncoder(w).Encode(page)
package report

import (
	"cmp"
	"slices"
	"sync"
)

// Path is the path of the page at the address of the metrics.
const Path = "/status"

// Process is the state of a process.
type Process struct {
	Node   string `json:"node"`
	Domain string `json:"failure-domain"`
	Region string `json:"region"`

	// Ready says that the process accepts callers.
	Ready bool `json:"ready"`

	// Services are those that the process holds, ordered by name.
	Services []Service `json:"services"`

	// Refusals are the operations of this process's own callers that were refused for their keys. Their cause is that of the
	// counter of refused operations.
	Refusals []Refusal `json:"refusals"`
}

// Service is the state of a service at its holder.
type Service struct {
	Service string `json:"service"`

	// Primary is the primary that takes writes, or empty. Waiting is the number of statements in the queue.
	Primary string `json:"primary"`
	Waiting int    `json:"waiting"`

	// Members and Buckets are ordered by name.
	Members []Member `json:"members"`
	Buckets []Bucket `json:"buckets"`

	// Refusals are the operations that were refused since the process began to hold the service. Their cause is "quota" or
	// the fault that was answered.
	Refusals []Refusal `json:"refusals"`
}

// Member is the state of a member.
type Member struct {
	Member string `json:"member"`

	// Limit is how many statements the member is assumed to run at once, and Slots how many it announces.
	Limit int `json:"limit"`
	Slots int `json:"slots"`

	// Running is the number of statements that run on the member or are assigned to it.
	Running int `json:"running"`

	// Idle, Opening and InUse are the numbers of connections by state.
	Idle    int `json:"idle"`
	Opening int `json:"opening"`
	InUse   int `json:"in-use"`
}

// Bucket is the part of a workspace's quota that the holder of a service has.
type Bucket struct {
	Workspace string `json:"workspace"`

	// Tokens is the number of operations that may run now, Depth the most that the bucket holds, and Rate the tokens that it gets
	// per second.
	Tokens float64 `json:"tokens"`
	Depth  float64 `json:"depth"`
	Rate   float64 `json:"rate"`
}

// Refusal counts refused operations.
type Refusal struct {
	// Workspace is empty for callers without one.
	Workspace string `json:"workspace"`
	Cause     string `json:"cause"`
	Count     uint64 `json:"count"`
}

// maxRefusals bounds the pairs of workspaces and causes that are counted apart.
const maxRefusals = 1000

// otherWorkspace stands for the workspaces beyond them.
const otherWorkspace = "other"

// Refusals counts refused operations. The zero value is ready to use.
type Refusals struct {
	mu     sync.Mutex
	counts map[refusalKey]uint64
}

type refusalKey struct {
	workspace, cause string
}

// Count counts an operation.
func (r *Refusals) Count(workspace, cause string) {
	k := refusalKey{
		workspace: workspace,
		cause:     cause,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[refusalKey]uint64{}
	}
	if r.counts[k] == 0 && len(r.counts) >= maxRefusals {
		k.workspace = otherWorkspace
	}
	r.counts[k]++
}

// List returns the counts, ordered by workspace and cause.
func (r *Refusals) List() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []Refusal{}
	for k, n := range r.counts {
		list = append(list, Refusal{
			Workspace: k.workspace,
			Cause:     k.cause,
			Count:     n,
		})
	}
	slices.SortFunc(list, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Cause, b.Cause))
	})
	return list
}

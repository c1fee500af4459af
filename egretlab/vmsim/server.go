// Package vmsim simulates the platform's list of VMs.
//
// Changes of the list become visible to callers after a delay:
//
//	s := &vmsim.Server{
//		Listener: listener,
//		Delay:    2 * time.Second,
//	}
//	err := s.Run(ctx)
package vmsim

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// Server is the simulated service. Its exported fields must be set before Run.
type Server struct {
	// Listener accepts all connections. Run closes it.
	Listener net.Listener

	// Delay is the age of the list that callers see.
	Delay time.Duration

	// Now is the clock. Nil means time.Now.
	Now func() time.Time

	// mu guards the fields below.
	mu sync.Mutex

	// versions has the versions of the list, oldest first. The first is the one that callers see, or an
	// older one.
	versions []version

	// down says that requests for the list are refused.
	down bool
}

// version is the content of the list from a point in time on.
type version struct {
	// validFrom is the time of the change.
	validFrom time.Time

	// vms is immutable.
	vms []egret.VM
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	h := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: time.Second,
	}
	stop := context.AfterFunc(ctx, func() {
		_ = h.Close()
	})
	defer stop()
	err := h.Serve(s.Listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Annotate(err, "serving the VM list")
}

// Set replaces the list. Callers see the change after Delay.
func (s *Server) Set(vms []egret.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(slices.Clone(vms))
}

// SetLeaving sets or clears the leaving mark of a VM. Callers see the change after Delay.
func (s *Server) SetLeaving(name string, leaving bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := []egret.VM{}
	if len(s.versions) > 0 {
		vms = slices.Clone(s.versions[len(s.versions)-1].vms)
	}
	i := slices.IndexFunc(vms, func(v egret.VM) bool {
		return v.Name == name
	})
	if i < 0 {
		return errors.NotFoundf("VM %q", name)
	}
	vms[i].Leaving = leaving
	s.add(vms)
	return nil
}

// Visible returns the list that callers see now.
func (s *Server) Visible() []egret.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.visibleAt(s.now())
}

// SetDown makes the server refuse requests for the list, or answer them again.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// add appends a version that is valid from now on. The caller holds mu.
func (s *Server) add(vms []egret.VM) {
	now := s.now()
	s.visibleAt(now)
	s.versions = append(s.versions, version{
		validFrom: now,
		vms:       vms,
	})
}

// visibleAt returns the list as it was Delay before now, or nil if there was none, and drops the versions
// before it. The caller holds mu.
func (s *Server) visibleAt(now time.Time) []egret.VM {
	asOf := now.Add(-s.Delay)
	for len(s.versions) > 1 && !s.versions[1].validFrom.After(asOf) {
		s.versions = s.versions[1:]
	}
	if len(s.versions) == 0 || s.versions[0].validFrom.After(asOf) {
		return nil
	}
	return s.versions[0].vms
}

func (s *Server) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

// Package vmsim stands in for the platform's list of VMs.
//
// It is told the true list and shows it as it was some time ago:
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

// Server is the stand-in. Its exported fields are set before Run.
type Server struct {
	// Listener takes all calls. Run closes it.
	Listener net.Listener

	// Delay is how old the list is that callers see.
	Delay time.Duration

	// Now is the clock. Nil means time.Now.
	Now func() time.Time

	// mu guards the fields below.
	mu sync.Mutex

	// versions holds the list's changes, oldest first. Its first is the one that callers see, or
	// one that is older.
	versions []version

	// down refuses the readers of the list.
	down bool
}

// version is the list from a point in time on.
type version struct {
	// from is when the list became true.
	from time.Time

	// vms is never changed.
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

// Set makes the list true from now on.
func (s *Server) Set(vms []egret.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(slices.Clone(vms))
}

// SetLeaving marks a VM of the true list.
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

// Seen returns the list that callers see.
func (s *Server) Seen() []egret.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen(s.now())
}

// Break makes the list refuse its readers, or serve them again.
func (s *Server) Break(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// add appends a version. The caller holds mu.
func (s *Server) add(vms []egret.VM) {
	now := s.now()
	s.seen(now)
	s.versions = append(s.versions, version{
		from: now,
		vms:  vms,
	})
}

// seen returns the list as it was a delay before now and drops the versions before it. The caller
// holds mu.
func (s *Server) seen(now time.Time) []egret.VM {
	shown := now.Add(-s.Delay)
	for len(s.versions) > 1 && !s.versions[1].from.After(shown) {
		s.versions = s.versions[1:]
	}
	if len(s.versions) == 0 || s.versions[0].from.After(shown) {
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

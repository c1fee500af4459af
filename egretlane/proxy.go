package main

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"egretlane.example/egret/caller"
	"egretlane.example/egret/entry"
	"egretlane.example/egret/lane"
	"egretlane.example/egret/leave"
	"egretlane.example/egret/member"
	"egretlane.example/egret/oper"
	"egretlane.example/egret/peer"
	"egretlane.example/egret/promo"
	"egretlane.example/egret/spans"
	"egretlane.example/egret/store"
	"egretlane.example/egret/table"
)

// leaveTimeout bounds the word to the peers that this proxy leaves.
const leaveTimeout = 2 * time.Second

// Proxy is a whole proxy process.
type Proxy struct {
	config  *Config
	logger  *log.Logger
	store   *store.Client
	keeper  *table.Keeper
	mesh    *peer.Mesh
	control *member.Control
	scout   *leave.Scout
	holder  *lane.Holder
	watcher *promo.Watcher
	desk    *entry.Desk
	callers *caller.Server
	peers   *grpc.Server
	oper    *oper.Server

	// leaving says that the proxy shuts down.
	leaving *atomic.Bool
}

// run serves until the context ends, and then shuts down gracefully.
func (p *Proxy) run(ctx context.Context) error {
	flush, err := spans.Provider{
		Export: p.config.Trace,
		Node:   p.config.Self.ID,
		Ratio:  p.config.TraceRatio,
	}.Install(ctx)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", p.config.Peers.String())
	if err != nil {
		return errors.Annotate(err, "peers' port")
	}
	p.logger.Info().Str("node", p.config.Self.ID).Msg("starting")
	// What serves requests outlives ctx until the shutdown is done.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, serving := errgroup.WithContext(serving)
	p.start(serving, g, l)
	accepting, stopAccepting := context.WithCancel(serving)
	defer stopAccepting()
	g.Go(func() error {
		return p.callers.Run(accepting)
	})
	select {
	case <-ctx.Done():
		p.shutDown(stopAccepting)
	case <-serving.Done():
	}
	stop()
	p.peers.Stop()
	err = g.Wait()
	p.logger.Info().Str("node", p.config.Self.ID).Msg("stopped")
	return errors.Trace(errors.Annotate(flushAfter(flush, err), ""))
}

func flushAfter(flush func(context.Context) error, err error) error {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if e := flush(ctx); err == nil {
		return e
	}
	return err
}

// start runs everything that serves.
func (p *Proxy) start(ctx context.Context, g *errgroup.Group, l net.Listener) {
	g.Go(func() error {
		err := p.peers.Serve(l)
		if ctx.Err() != nil {
			return nil
		}
		return errors.Annotate(err, "peers' port")
	})
	parts := []func(context.Context) error{
		p.mesh.Run,
		p.keeper.Run,
		p.holder.Run,
		p.watcher.Run,
		p.oper.Run,
		p.tellTables,
	}
	if p.scout != nil {
		parts = append(parts, p.scout.Run)
	}
	for _, run := range parts {
		g.Go(func() error {
			return run(ctx)
		})
	}
}

// tellTables tells the peers at once when new tables are in force here.
func (p *Proxy) tellTables(ctx context.Context) error {
	for {
		changed := p.keeper.Changed()
		p.mesh.Notify()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// shutDown turns unready, tells the peers, and ends each session between its transactions. Lanes go
// on until no peer uses them.
func (p *Proxy) shutDown(stopAccepting func()) {
	p.leaving.Store(true)
	p.logger.Info().Str("node", p.config.Self.ID).Msg("leaving")
	told, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	p.mesh.Leave(told)
	time.Sleep(p.config.ReadyDelay)
	stopAccepting()
	grace, stop := context.WithTimeout(context.Background(), p.config.ShutdownGrace)
	defer stop()
	if err := p.callers.Drain(grace); err != nil {
		p.logger.Warn().Err(err).Msg("callers cut")
	}
	if err := p.holder.Drain(grace); err != nil {
		p.logger.Warn().Err(err).Msg("lanes cut")
	}
	p.endLanes(grace)
}

// endLanes waits until the transactions that peers run on this proxy's lanes have ended.
func (p *Proxy) endLanes(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		p.peers.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		p.logger.Warn().Msg("transactions of peers cut")
	}
}

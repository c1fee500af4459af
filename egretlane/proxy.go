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

	"egretlane.example/egret/admin"
	"egretlane.example/egret/caller"
	"egretlane.example/egret/entry"
	"egretlane.example/egret/lane"
	"egretlane.example/egret/member"
	"egretlane.example/egret/notice"
	"egretlane.example/egret/peer"
	"egretlane.example/egret/promo"
	"egretlane.example/egret/spans"
	"egretlane.example/egret/store"
	"egretlane.example/egret/table"
)

// shutdownStepTimeout bounds each of two steps of the shutdown: telling the peers that this proxy leaves, and the
// export of the last spans.
const shutdownStepTimeout = 2 * time.Second

// lanesReserve is how much of the shutdown's grace period is kept, at most, for statements that other proxies run on this proxy's
// lanes. Callers that don't read their answers can't use it up.
const lanesReserve = 2 * time.Second

// Proxy is a proxy process with all its components.
type Proxy struct {
	config         *Config
	logger         *log.Logger
	store          *store.Client
	tables         *table.Cache
	mesh           *peer.Mesh
	control        *member.Control
	vmListPoller   *notice.Poller
	laneManager    *lane.Manager
	watcher        *promo.Watcher
	sessionHandler *entry.Handler
	callerServer   *caller.Server
	peerServer     *grpc.Server
	operatorServer *admin.Server

	// shuttingDown is true while the proxy shuts down.
	shuttingDown *atomic.Bool
}

// run serves until the context ends, and then shuts down gracefully.
func (p *Proxy) run(ctx context.Context) error {
	flush, err := spans.Provider{
		Export: p.config.TraceExport,
		Node:   p.config.Self.ID,
		Ratio:  p.config.TraceRatio,
	}.Install(ctx)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", p.config.PeerListen.String())
	if err != nil {
		return errors.Annotate(err, "peer listener")
	}
	p.logger.Info().Str("node", p.config.Self.ID).Msg("starting")
	// Components that serve requests keep running after ctx ends, until the shutdown is done.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, serving := errgroup.WithContext(serving)
	p.start(serving, g, l)
	accepting, stopAccepting := context.WithCancel(serving)
	defer stopAccepting()
	g.Go(func() error {
		return p.callerServer.Run(accepting)
	})
	select {
	case <-ctx.Done():
		p.shutDown(stopAccepting)
	case <-serving.Done():
	}
	stop()
	p.peerServer.Stop()
	err = g.Wait()
	p.logger.Info().Str("node", p.config.Self.ID).Msg("stopped")
	return errors.Trace(errors.Annotate(flushSpans(flush, err), ""))
}

// flushSpans exports the last spans. It returns err, or the error of the export if err is nil.
func flushSpans(flush func(context.Context) error, err error) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownStepTimeout)
	defer cancel()
	if flushErr := flush(ctx); err == nil {
		return flushErr
	}
	return err
}

// start runs the components that serve requests.
func (p *Proxy) start(ctx context.Context, g *errgroup.Group, l net.Listener) {
	g.Go(func() error {
		err := p.peerServer.Serve(l)
		if ctx.Err() != nil {
			return nil
		}
		return errors.Annotate(err, "peer listener")
	})
	runs := []func(context.Context) error{
		p.mesh.Run,
		p.tables.Run,
		p.laneManager.Run,
		p.watcher.Run,
		p.operatorServer.Run,
		p.notifyTables,
	}
	if p.vmListPoller != nil {
		runs = append(runs, p.vmListPoller.Run)
	}
	for _, run := range runs {
		g.Go(func() error {
			return run(ctx)
		})
	}
}

// notifyTables notifies the peers at once when this proxy uses new tables.
func (p *Proxy) notifyTables(ctx context.Context) error {
	for {
		changed := p.tables.Changed()
		p.mesh.NotifyTables()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// shutDown makes the proxy not ready, tells the peers, and ends each session between two transactions. Lanes run
// until no peer uses them.
func (p *Proxy) shutDown(stopAccepting func()) {
	p.shuttingDown.Store(true)
	p.logger.Info().Str("node", p.config.Self.ID).Msg("leaving")
	leaveCtx, cancel := context.WithTimeout(context.Background(), shutdownStepTimeout)
	defer cancel()
	p.mesh.Leave(leaveCtx)
	time.Sleep(p.config.UnreadyDelay)
	stopAccepting()
	grace, stop := context.WithTimeout(context.Background(), p.config.ShutdownGrace)
	defer stop()
	callers, stopCallers := context.WithTimeout(grace, p.config.ShutdownGrace-min(lanesReserve, p.config.ShutdownGrace/4))
	defer stopCallers()
	if err := p.callerServer.Drain(callers); err != nil {
		p.logger.Warn().Err(err).Msg("shutdown grace period expired; remaining caller connections were closed")
	}
	if err := p.laneManager.Drain(grace); err != nil {
		p.logger.Warn().Err(err).Msg("shutdown grace period expired while lanes were still in use")
	}
	p.stopPeerServer(grace)
}

// stopPeerServer waits until the transactions that peers run on this proxy's lanes have ended, or the context ends.
func (p *Proxy) stopPeerServer(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		p.peerServer.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		p.logger.Warn().Msg("shutdown grace period expired with open transactions of other proxies; aborting them")
	}
}

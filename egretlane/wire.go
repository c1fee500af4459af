//go:build wireinject

package main

import (
	"github.com/google/wire"
)

// newProxy builds a proxy from its configuration. Wire generates the code from the providers.
func newProxy(c *Config) (*Proxy, error) {
	wire.Build(providers)
	return nil, nil
}

// providers construct the components of a proxy.
var providers = wire.NewSet(
	newLogger,
	newRegistry,
	newShutdownFlag,
	newSigner,
	newStore,
	newTables,
	newMesh,
	newDialer,
	newControl,
	newLeavingMembers,
	newVMListPoller,
	newLaneManager,
	newWatcher,
	newLanes,
	newSessionHandler,
	newCallerServer,
	newPeerServer,
	newReadiness,
	newOperatorServer,
	assemble,
)

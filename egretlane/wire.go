//go:build wireinject

package main

import (
	"github.com/google/wire"
)

// newProxy puts a proxy together. Its code is generated from the providers.
func newProxy(c *Config) (*Proxy, error) {
	wire.Build(providers)
	return nil, nil
}

// providers make the parts of a proxy.
var providers = wire.NewSet(
	newLogger,
	newRegistry,
	newLeaving,
	newSealer,
	newStore,
	newKeeper,
	newMesh,
	newDialer,
	newControl,
	newBoard,
	newScout,
	newHolder,
	newWatcher,
	newLanes,
	newDesk,
	newCallers,
	newPeerServer,
	newReadiness,
	newOper,
	assemble,
)

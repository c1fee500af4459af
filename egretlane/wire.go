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

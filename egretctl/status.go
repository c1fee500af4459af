package main

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the state of proxies, groups and members",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name:    "proxy",
				Usage:   "`ADDRESS` at which a proxy serves its peers, repeatable",
				Value:   []string{"127.0.0.1:6442"},
				Sources: cli.EnvVars("EGRETCTL_PROXY"),
			},
			&cli.BoolFlag{
				Name:  "all",
				Usage: "ask also the proxies that these know",
			},
			&cli.StringFlag{
				Name:  "format",
				Usage: "`FORMAT`: table or json",
				Value: "table",
			},
			&cli.StringFlag{
				Name:    "peer-tls-cert",
				Usage:   "`FILE` of the certificate shown to proxies",
				Sources: cli.EnvVars("EGRETCTL_PEER_TLS_CERT"),
			},
			&cli.StringFlag{
				Name:    "peer-tls-key",
				Usage:   "`FILE` of the certificate's key",
				Sources: cli.EnvVars("EGRETCTL_PEER_TLS_KEY"),
			},
			&cli.StringFlag{
				Name:    "peer-tls-ca",
				Usage:   "`FILE` of the authorities of proxies' certificates; no encryption if not set",
				Sources: cli.EnvVars("EGRETCTL_PEER_TLS_CA"),
			},
		},
		Action: withSession(showStatus),
	}
}

func showStatus(ctx context.Context, c *cli.Command, s *session) error {
	addresses, err := proxyAddresses(c)
	if err != nil {
		return err
	}
	format := c.String("format")
	if format != "table" && format != "json" {
		return usageError("--format: %q is neither table nor json", format)
	}
	credentials, err := peerCredentials(c)
	if err != nil {
		return errors.Trace(err)
	}
	a := &asker{
		credentials: credentials,
		all:         c.Bool("all"),
	}
	o := gather(ctx, s, a, addresses)
	err = o.write(c, format)
	if err != nil {
		return errors.Annotate(err, "printing the status")
	}
	return o.err()
}

// gather asks the proxies and the store at once.
func gather(ctx context.Context, s *session, a *asker, addresses []netip.AddrPort) *overview {
	stored := storeRow{}
	w := sync.WaitGroup{}
	w.Go(func() {
		stored = askStore(ctx, s)
	})
	o := summarize(a.ask(ctx, addresses))
	w.Wait()
	o.Store = stored
	return o
}

// askStore returns the revision of the store's tables. The proxies go on without the store, so that
// a failure is shown and is no error.
func askStore(ctx context.Context, s *session) storeRow {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	v, err := s.editor.Store.Get(ctx, s.editor.Key)
	if err != nil {
		return storeRow{
			Error: err.Error(),
		}
	}
	return storeRow{
		Revision: v.Revision,
	}
}

func (o *overview) write(c *cli.Command, format string) error {
	if format == "table" {
		return o.print(c.Root().Writer)
	}
	e := json.NewEncoder(c.Root().Writer)
	e.SetIndent("", "  ")
	return errors.Trace(e.Encode(o))
}

func proxyAddresses(c *cli.Command) ([]netip.AddrPort, error) {
	addresses := []netip.AddrPort{}
	for _, text := range c.StringSlice("proxy") {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, usageError("--proxy: %v", err)
		}
		addresses = append(addresses, a)
	}
	return addresses, nil
}

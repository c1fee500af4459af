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
				Usage:   "peer `ADDRESS` of a proxy, as IP:port; can be repeated",
				Value:   []string{"127.0.0.1:6442"},
				Sources: cli.EnvVars("EGRETCTL_PROXY"),
			},
			&cli.StringSliceFlag{
				Name:    "fleet",
				Usage:   "metrics `ADDRESS` of a process of egretlane fleet, as IP:port; can be repeated; shows only these processes",
				Sources: cli.EnvVars("EGRETCTL_FLEET"),
			},
			&cli.BoolFlag{
				Name:  "all",
				Usage: "also query the live proxies that the given ones know",
			},
			&cli.StringFlag{
				Name:  "format",
				Usage: "output `FORMAT`: table or json",
				Value: "table",
			},
			&cli.StringFlag{
				Name:    "peer-tls-cert",
				Usage:   "PEM `FILE` with the client certificate to present to proxies",
				Sources: cli.EnvVars("EGRETCTL_PEER_TLS_CERT"),
			},
			&cli.StringFlag{
				Name:    "peer-tls-key",
				Usage:   "PEM `FILE` with the private key of the client certificate",
				Sources: cli.EnvVars("EGRETCTL_PEER_TLS_KEY"),
			},
			&cli.StringFlag{
				Name:    "peer-tls-ca",
				Usage:   "PEM `FILE` with the CA certificates to verify proxies with; if not set, connections are not encrypted",
				Sources: cli.EnvVars("EGRETCTL_PEER_TLS_CA"),
			},
		},
		Action: withStore(showStatus),
	}
}

func showStatus(ctx context.Context, c *cli.Command, s *storeAccess) error {
	addresses, err := parseAddresses(c, "proxy")
	if err != nil {
		return err
	}
	format := c.String("format")
	if format != "table" && format != "json" {
		return usageError("--format: %q is neither table nor json", format)
	}
	processes, err := parseAddresses(c, "fleet")
	if err != nil {
		return err
	}
	if len(processes) > 0 {
		return showFleet(ctx, c, processes, format)
	}
	credentials, err := peerCredentials(c)
	if err != nil {
		return errors.Trace(err)
	}
	proxies := &statusClient{
		credentials: credentials,
		discover:    c.Bool("all"),
	}
	o := collectOverview(ctx, s, proxies, addresses)
	err = o.write(c, format)
	if err != nil {
		return errors.Annotate(err, "printing the status")
	}
	return o.err()
}

// collectOverview queries the proxies and the store concurrently.
func collectOverview(ctx context.Context, s *storeAccess, proxies *statusClient, addresses []netip.AddrPort) *overview {
	store := storeRow{}
	wg := sync.WaitGroup{}
	wg.Go(func() {
		store = storeState(ctx, s)
	})
	o := newOverview(proxies.query(ctx, addresses))
	wg.Wait()
	o.Store = store
	return o
}

// storeState returns the revision of the tables in the store. A failure is only shown and is not an error of the
// command, as the proxies keep running without the store.
func storeState(ctx context.Context, s *storeAccess) storeRow {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
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

// write writes the overview as tables or JSON.
func (o *overview) write(c *cli.Command, format string) error {
	if format == "table" {
		return o.printTables(c.Root().Writer)
	}
	e := json.NewEncoder(c.Root().Writer)
	e.SetIndent("", "  ")
	return errors.Trace(e.Encode(o))
}

// parseAddresses returns the addresses of a flag.
func parseAddresses(c *cli.Command, flag string) ([]netip.AddrPort, error) {
	addresses := []netip.AddrPort{}
	for _, text := range c.StringSlice(flag) {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, usageError("--%s: %v", flag, err)
		}
		addresses = append(addresses, a)
	}
	return addresses, nil
}

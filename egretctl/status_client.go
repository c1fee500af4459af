package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"slices"
	"sync"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/peerpb"
)

// maxConcurrentCalls is the maximum number of concurrent calls to proxies.
const maxConcurrentCalls = 32

// statusClient queries proxies for their status.
type statusClient struct {
	// credentials are the credentials for connections to proxies.
	credentials credentials.TransportCredentials

	// discover makes query include the live proxies that the given ones know.
	discover bool
}

// statusResult is the status of a proxy, or the error of the call.
type statusResult struct {
	// address is the address of the proxy.
	address netip.AddrPort

	// reply is nil if err is not.
	reply *peerpb.StatusReply

	// err is the error of the call, or nil.
	err error
}

// query returns the status of the proxies, in the order of the addresses. The results of discovered proxies come after
// them.
func (c *statusClient) query(ctx context.Context, addresses []netip.AddrPort) []statusResult {
	results := c.queryAll(ctx, addresses)
	if !c.discover {
		return results
	}
	return append(results, c.queryAll(ctx, discoveredProxies(results))...)
}

// queryAll queries the proxies concurrently. The results are in the order of the addresses.
func (c *statusClient) queryAll(ctx context.Context, addresses []netip.AddrPort) []statusResult {
	results := make([]statusResult, len(addresses))
	semaphore := make(chan struct{}, maxConcurrentCalls)
	wg := sync.WaitGroup{}
	for i, address := range addresses {
		semaphore <- struct{}{}
		wg.Go(func() {
			r, err := c.queryOne(ctx, address)
			results[i] = statusResult{
				address: address,
				reply:   r,
				err:     err,
			}
			<-semaphore
		})
	}
	wg.Wait()
	return results
}

func (c *statusClient) queryOne(ctx context.Context, address netip.AddrPort) (*peerpb.StatusReply, error) {
	conn, err := grpc.NewClient("passthrough:///"+address.String(), grpc.WithTransportCredentials(c.credentials))
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() {
		_ = conn.Close()
	}()
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	r, err := peerpb.NewPeerClient(conn).Status(ctx, &peerpb.StatusRequest{})
	return r, errors.Trace(err)
}

// discoveredProxies returns the addresses of the proxies that were not queried and that a queried proxy does not list
// as dead, in ascending order.
func discoveredProxies(results []statusResult) []netip.AddrPort {
	queried := []netip.AddrPort{}
	ids := []string{}
	for _, r := range results {
		queried = append(queried, r.address)
		ids = append(ids, r.reply.GetSelf().GetId())
	}
	discovered := []netip.AddrPort{}
	for _, r := range results {
		for _, n := range r.reply.GetNodes() {
			address, err := netip.ParseAddrPort(n.GetAddress())
			known := slices.Contains(queried, address) || slices.Contains(ids, n.GetId())
			if err != nil || known || n.GetState() == string(egret.NodeDead) {
				continue
			}
			queried = append(queried, address)
			discovered = append(discovered, address)
		}
	}
	slices.SortFunc(discovered, netip.AddrPort.Compare)
	return discovered
}

// peerCredentials returns the credentials for connections to proxies. They are insecure without --peer-tls-ca.
func peerCredentials(c *cli.Command) (credentials.TransportCredentials, error) {
	ca := c.String("peer-tls-ca")
	if ca == "" {
		return insecure.NewCredentials(), nil
	}
	pair, err := tls.LoadX509KeyPair(c.String("peer-tls-cert"), c.String("peer-tls-key"))
	if err != nil {
		return nil, errors.Annotate(err, "--peer-tls-cert and --peer-tls-key")
	}
	data, err := os.ReadFile(ca)
	if err != nil {
		return nil, errors.Annotate(err, "--peer-tls-ca")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, errors.NotValidf("--peer-tls-ca: PEM certificates in %s", ca)
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS12,
		Certificates: []tls.Certificate{
			pair,
		},
		RootCAs: roots,
	}), nil
}

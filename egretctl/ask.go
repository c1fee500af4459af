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

// maxAsked is how many proxies are asked at once.
const maxAsked = 32

// asker asks proxies for their status.
type asker struct {
	// credentials are those towards proxies.
	credentials credentials.TransportCredentials

	// all asks also the proxies that the first ones know.
	all bool
}

// answer is what a proxy said, or why it didn't.
type answer struct {
	// address is that of the proxy.
	address netip.AddrPort

	// reply is nil if there is an err.
	reply *peerpb.StatusReply

	// err says why there is no reply.
	err error
}

// ask asks the proxies. The answers are in the order of the addresses, and those of further proxies
// come after them.
func (a *asker) ask(ctx context.Context, addresses []netip.AddrPort) []answer {
	answers := a.askEach(ctx, addresses)
	if !a.all {
		return answers
	}
	return append(answers, a.askEach(ctx, further(answers))...)
}

// askEach asks the proxies side by side.
func (a *asker) askEach(ctx context.Context, addresses []netip.AddrPort) []answer {
	answers := make([]answer, len(addresses))
	slots := make(chan struct{}, maxAsked)
	w := sync.WaitGroup{}
	for i, address := range addresses {
		slots <- struct{}{}
		w.Go(func() {
			r, err := a.askOne(ctx, address)
			answers[i] = answer{
				address: address,
				reply:   r,
				err:     err,
			}
			<-slots
		})
	}
	w.Wait()
	return answers
}

func (a *asker) askOne(ctx context.Context, address netip.AddrPort) (*peerpb.StatusReply, error) {
	conn, err := grpc.NewClient("passthrough:///"+address.String(), grpc.WithTransportCredentials(a.credentials))
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() {
		_ = conn.Close()
	}()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := peerpb.NewPeerClient(conn).Status(ctx, &peerpb.StatusRequest{})
	return r, errors.Trace(err)
}

// further returns the addresses of proxies that were not asked and that others hold to be live.
func further(answers []answer) []netip.AddrPort {
	asked := []netip.AddrPort{}
	ids := []string{}
	for _, a := range answers {
		asked = append(asked, a.address)
		ids = append(ids, a.reply.GetSelf().GetId())
	}
	found := []netip.AddrPort{}
	for _, a := range answers {
		for _, n := range a.reply.GetNodes() {
			address, err := netip.ParseAddrPort(n.GetAddress())
			known := slices.Contains(asked, address) || slices.Contains(ids, n.GetId())
			if err != nil || known || n.GetState() == string(egret.NodeDead) {
				continue
			}
			asked = append(asked, address)
			found = append(found, address)
		}
	}
	slices.SortFunc(found, netip.AddrPort.Compare)
	return found
}

// peerCredentials returns the credentials towards proxies.
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
		return nil, errors.NotValidf("--peer-tls-ca: %s without a certificate", ca)
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS12,
		Certificates: []tls.Certificate{
			pair,
		},
		RootCAs: roots,
	}), nil
}

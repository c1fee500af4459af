package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// demoTimeout limits the whole demo.
const demoTimeout = 30 * time.Second

// demoCommand returns the command that shows read-your-writes across proxies.
func demoCommand() *cli.Command {
	d := &demo{}
	return &cli.Command{
		Name:  "demo",
		Usage: "demonstrate read-your-writes: place an order through one proxy and read it through two others",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name:        "proxy",
				Usage:       "`ADDRESS` (IP:port) on which a proxy listens for callers; repeat for at least three proxies",
				Sources:     cli.EnvVars("EGRETLAB_PROXY"),
				Destination: &d.proxies,
			},
			&cli.StringFlag{
				Name:        "user",
				Usage:       "`NAME` of the caller to connect as",
				Value:       "workshop",
				Sources:     cli.EnvVars("EGRETLAB_USER"),
				Destination: &d.user,
			},
			&cli.StringFlag{
				Name:        "database",
				Usage:       "`NAME` of the database to connect to",
				Value:       "catalogo-db",
				Sources:     cli.EnvVars("EGRETLAB_DATABASE"),
				Destination: &d.database,
			},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()
			return d.run(ctx)
		},
	}
}

// demo places an order through one proxy and reads it back through two others, once with the session's token and once
// without.
type demo struct {
	// proxies are the addresses on which the proxies listen for callers.
	proxies []string

	// user is the caller that the demo connects as, database the one it connects to.
	user, database string
}

// response is the result of a statement and the member that ran it.
type response struct {
	// value is the first column of the first row, or the command tag.
	value string

	// member is the member that ran the statement, position the log position that it had reached.
	member, position string

	// token is the session's token after the statement.
	token string
}

func (d *demo) run(ctx context.Context) error {
	if len(d.proxies) < 3 {
		return errors.NewNotValid(nil, fmt.Sprintf("at least three --proxy addresses are required, got %d", len(d.proxies)))
	}
	id := fmt.Sprintf("demo-%d", time.Now().UnixNano())
	placed, err := d.exec(ctx, d.proxies[0], "",
		fmt.Sprintf("INSERT INTO orders (id, item) VALUES ('%s', 'sieve 2mm') /*kind='order'*/", id))
	if err != nil {
		return errors.Annotate(err, "placing the order")
	}
	printResponse("placed the order through", d.proxies[0], placed)
	read := fmt.Sprintf("SELECT item FROM orders WHERE id = '%s'", id)
	if err := d.readBack(ctx, d.proxies[1], placed.token, read, "read it with the token through"); err != nil {
		return err
	}
	return d.readBack(ctx, d.proxies[2], "", read, "read it without a token through")
}

// readBack runs the query, prints the response and checks that it has the order's item.
func (d *demo) readBack(ctx context.Context, proxy, token, query, action string) error {
	got, err := d.exec(ctx, proxy, token, query)
	if err != nil {
		return errors.Annotatef(err, "%s %s", action, proxy)
	}
	printResponse(action, proxy, got)
	if got.value != "sieve 2mm" {
		return errors.Errorf("%s %s: got %q, want %q", action, proxy, got.value, "sieve 2mm")
	}
	return nil
}

// exec opens a session at the proxy, with the token unless it is empty, runs the query and closes the session.
func (d *demo) exec(ctx context.Context, proxy, token, query string) (response, error) {
	a, err := netip.ParseAddrPort(proxy)
	if err != nil {
		return response{}, errors.Trace(err)
	}
	c, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%d user=%s dbname=%s sslmode=disable",
		a.Addr(), a.Port(), d.user, d.database))
	if err != nil {
		return response{}, errors.Trace(err)
	}
	if token != "" {
		c.RuntimeParams["egretlane.token"] = token
	}
	conn, err := pgconn.ConnectConfig(ctx, c)
	if err != nil {
		return response{}, errors.Trace(err)
	}
	defer func() {
		_ = conn.Close(ctx)
	}()
	results, err := conn.Exec(ctx, query).ReadAll()
	if err != nil {
		return response{}, errors.Trace(err)
	}
	r := response{
		member:   conn.ParameterStatus("egretlane.member"),
		position: conn.ParameterStatus("egretlane.position"),
		token:    conn.ParameterStatus("egretlane.token"),
	}
	if len(results) > 0 {
		r.value = results[0].CommandTag.String()
		if len(results[0].Rows) > 0 {
			r.value = string(results[0].Rows[0][0])
		}
	}
	return r, nil
}

func printResponse(action, proxy string, r response) {
	fmt.Printf("%s %s: %q, served by %s at log position %s\n", action, proxy, r.value, r.member, r.position)
}

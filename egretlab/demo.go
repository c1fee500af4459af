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

// demoTimeout bounds the whole demo.
const demoTimeout = 30 * time.Second

func demoCommand() *cli.Command {
	d := &demo{}
	return &cli.Command{
		Name:  "demo",
		Usage: "place an order through one proxy and read it through others",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name:        "proxy",
				Usage:       "callers' IP:port of a proxy; three are needed",
				Sources:     cli.EnvVars("EGRETLAB_PROXY"),
				Destination: &d.proxies,
			},
			&cli.StringFlag{
				Name:        "user",
				Usage:       "the caller",
				Value:       "workshop",
				Sources:     cli.EnvVars("EGRETLAB_USER"),
				Destination: &d.user,
			},
			&cli.StringFlag{
				Name:        "database",
				Usage:       "the database",
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

// demo places an order and reads it back.
type demo struct {
	// proxies are callers' addresses.
	proxies []string

	// user and database are what the demo connects as and to.
	user, database string
}

// served is an answer and who gave it.
type served struct {
	// value is the first column of the first row, or the command tag.
	value string

	// member and position say who served the request.
	member, position string

	// token is the session's token after the request.
	token string
}

func (d *demo) run(ctx context.Context) error {
	if len(d.proxies) < 3 {
		return errors.NotValidf("%d proxies, three are needed", len(d.proxies))
	}
	id := fmt.Sprintf("demo-%d", time.Now().UnixNano())
	placed, err := d.ask(ctx, d.proxies[0], "",
		fmt.Sprintf("INSERT INTO orders (id, item) VALUES ('%s', 'sieve 2mm') /*kind='order'*/", id))
	if err != nil {
		return errors.Annotate(err, "placing the order")
	}
	report("placed the order through", d.proxies[0], placed)
	read := fmt.Sprintf("SELECT item FROM orders WHERE id = '%s'", id)
	if err := d.read(ctx, d.proxies[1], placed.token, read, "read it with the token through"); err != nil {
		return err
	}
	return d.read(ctx, d.proxies[2], "", read, "read it without a token through")
}

func (d *demo) read(ctx context.Context, proxy, token, query, what string) error {
	got, err := d.ask(ctx, proxy, token, query)
	if err != nil {
		return errors.Annotatef(err, "%s %s", what, proxy)
	}
	report(what, proxy, got)
	if got.value != "sieve 2mm" {
		return errors.Errorf("%s %s: got %q, want %q", what, proxy, got.value, "sieve 2mm")
	}
	return nil
}

func (d *demo) ask(ctx context.Context, proxy, token, query string) (served, error) {
	a, err := netip.ParseAddrPort(proxy)
	if err != nil {
		return served{}, errors.Trace(err)
	}
	c, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%d user=%s dbname=%s sslmode=disable",
		a.Addr(), a.Port(), d.user, d.database))
	if err != nil {
		return served{}, errors.Trace(err)
	}
	if token != "" {
		c.RuntimeParams["egretlane.token"] = token
	}
	conn, err := pgconn.ConnectConfig(ctx, c)
	if err != nil {
		return served{}, errors.Trace(err)
	}
	defer func() {
		_ = conn.Close(ctx)
	}()
	results, err := conn.Exec(ctx, query).ReadAll()
	if err != nil {
		return served{}, errors.Trace(err)
	}
	s := served{
		member:   conn.ParameterStatus("egretlane.member"),
		position: conn.ParameterStatus("egretlane.position"),
		token:    conn.ParameterStatus("egretlane.token"),
	}
	if len(results) > 0 {
		s.value = results[0].CommandTag.String()
		if len(results[0].Rows) > 0 {
			s.value = string(results[0].Rows[0][0])
		}
	}
	return s, nil
}

func report(what, proxy string, s served) {
	fmt.Printf("%s %s: %q, served by %s at log position %s\n", what, proxy, s.value, s.member, s.position)
}

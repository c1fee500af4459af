package main

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"egretlane.example/egret/egretctl/reqlog"
)

const (
	// defaultBefore is how long before the first line of a request the events of its service are printed: a failure
	// often begins before the requests that it affects.
	defaultBefore = 3 * time.Second

	// defaultAfter is how long after the last line of a request the events of its service are printed.
	defaultAfter = time.Second
)

// explainCommand returns the sub-command that prints the events of a request and the events around it.
func explainCommand() *cli.Command {
	before, after := defaultBefore, defaultAfter
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the log lines about a request from all proxies, in order of time",
		ArgsUsage: "ID [FILE...]",
		Description: "Reads log lines from the files, or from standard input. Prints the lines of the request, marked with *, and the\n" +
			"events of its services and proxies around that time. Text before the first opening brace of a line is ignored.",
		Flags: []cli.Flag{
			&cli.DurationFlag{
				Name:        "before",
				Usage:       "also print events of the request's services and proxies up to this long before its first line",
				Value:       defaultBefore,
				Destination: &before,
			},
			&cli.DurationFlag{
				Name:        "after",
				Usage:       "also print events of the request's services and proxies up to this long after its last line",
				Value:       defaultAfter,
				Destination: &after,
			},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if !c.Args().Present() {
				return usageError("explain requires the ID of a request")
			}
			lines, err := readLogs(c.Root().Reader, c.Args().Tail())
			if err != nil {
				return commandError(err)
			}
			return commandError(reqlog.Explain(c.Root().Writer, lines, c.Args().First(), before, after))
		},
	}
}

// readLogs reads the files, or the reader if there are none.
func readLogs(in io.Reader, files []string) ([]reqlog.Line, error) {
	if len(files) == 0 {
		return reqlog.Read(in)
	}
	lines := []reqlog.Line{}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Trace(err)
		}
		more, err := reqlog.Read(f)
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return nil, errors.Annotate(err, name)
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

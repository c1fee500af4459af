package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

const (
	// maxLogLine is the maximum length of a log line, in bytes.
	maxLogLine = 1 << 20

	// defaultBefore is how long before the first line of a request the events of its service are printed: a failure
	// often begins before the requests that it affects.
	defaultBefore = 3 * time.Second

	// defaultAfter is how long after the last line of a request the events of its service are printed.
	defaultAfter = time.Second
)

// processEvents are the events that concern a whole process, and so each request that it handles.
var processEvents = map[string]bool{
	"process-started":        true,
	"process-leaving":        true,
	"process-stopped":        true,
	"store-lost":             true,
	"store-regained":         true,
	"configuration-in-force": true,
	"lines-dropped":          true,
}

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
			return explain(c.Root().Writer, lines, c.Args().First(), before, after)
		},
	}
}

// logLine is one line of a proxy's log.
type logLine struct {
	timestamp time.Time
	node      string
	event     string
	fields    map[string]any
}

// readLogs reads the files, or the reader if there are none.
func readLogs(in io.Reader, files []string) ([]logLine, error) {
	if len(files) == 0 {
		return readLog(in)
	}
	lines := []logLine{}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Trace(err)
		}
		more, err := readLog(f)
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

// readLog reads the log lines and skips all other lines.
func readLog(in io.Reader) ([]logLine, error) {
	lines := []logLine{}
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		if l, ok := parseLogLine(s.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Trace(s.Err())
}

// parseLogLine parses a line from its first opening brace on. It returns false if that is not a JSON object with a time
// and an event.
func parseLogLine(text string) (logLine, bool) {
	i := strings.IndexByte(text, '{')
	if i < 0 {
		return logLine{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal([]byte(text[i:]), &fields) != nil {
		return logLine{}, false
	}
	l := logLine{
		fields: fields,
	}
	l.node, _ = fields["node"].(string)
	l.event, _ = fields["event"].(string)
	timeText, _ := fields["time"].(string)
	timestamp, err := time.Parse(time.RFC3339Nano, timeText)
	if err != nil || l.event == "" {
		return logLine{}, false
	}
	l.timestamp = timestamp
	return l, true
}

// explain prints, in the order of time, the lines of the request with the ID, the lines around it about its services,
// and those about the processes that handled it. The lines of the request are marked with an asterisk.
func explain(out io.Writer, lines []logLine, id string, before, after time.Duration) error {
	first, last := time.Time{}, time.Time{}
	services, nodes := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.fields["request"] != id {
			continue
		}
		nodes[l.node] = true
		if first.IsZero() || l.timestamp.Before(first) {
			first = l.timestamp
		}
		if l.timestamp.After(last) {
			last = l.timestamp
		}
		if s, ok := l.fields["service"].(string); ok {
			services[s] = true
		}
	}
	if first.IsZero() {
		return &exitError{
			status: exitFailed,
			err:    errors.Errorf("no log lines for request %s: successful requests are sampled, and log lines over the rate limit are dropped", id),
		}
	}
	selected := []logLine{}
	for _, l := range lines {
		service, _ := l.fields["service"].(string)
		_, hasRequest := l.fields["request"]
		around := l.timestamp.After(first.Add(-before)) && l.timestamp.Before(last.Add(after))
		related := services[service] || nodes[l.node] && processEvents[l.event]
		if l.fields["request"] == id || !hasRequest && around && related {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b logLine) int { return a.timestamp.Compare(b.timestamp) })
	for _, l := range selected {
		mark := " "
		if l.fields["request"] == id {
			mark = "*"
		}
		fmt.Fprintf(out, "%s %+9.3fs  %-20s %-22s %s\n", mark, l.timestamp.Sub(first).Seconds(), l.node, l.event, l.describe())
	}
	return nil
}

// describe returns the message of the line and its other fields in the order of their names.
func (l *logLine) describe() string {
	parts := []string{}
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		value := l.fields[name]
		switch name {
		case "time", "node", "event", "level", "message", "request":
			continue
		}
		if value == nil || value == "" {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s=%v", name, value))
	}
	message, _ := l.fields["message"].(string)
	return message + " (" + strings.Join(parts, " ") + ")"
}

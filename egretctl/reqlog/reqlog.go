// Package reqlog finds what happened to a request in the logs of proxies.
//
//	lines, err := reqlog.Read(file)
//	err = reqlog.Explain(os.Stdout, lines, id, 3*time.Second, time.Second)
package reqlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maxLogLine is the maximum length of a log line, in bytes.
const maxLogLine = 1 << 20

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

// Line is one line of a proxy's log.
type Line struct {
	timestamp time.Time
	node      string
	event     string
	fields    map[string]any
}

// Read reads the log lines and skips all other lines.
func Read(in io.Reader) ([]Line, error) {
	lines := []Line{}
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		if l, ok := parseLine(s.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Trace(s.Err())
}

// parseLine parses a line from its first opening brace on. It returns false if that is not a JSON object with a time
// and an event.
func parseLine(text string) (Line, bool) {
	i := strings.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal([]byte(text[i:]), &fields) != nil {
		return Line{}, false
	}
	l := Line{
		fields: fields,
	}
	l.node, _ = fields["node"].(string)
	l.event, _ = fields["event"].(string)
	timeText, _ := fields["time"].(string)
	timestamp, err := time.Parse(time.RFC3339Nano, timeText)
	if err != nil || l.event == "" {
		return Line{}, false
	}
	l.timestamp = timestamp
	return l, true
}

// Explain prints, in the order of time, the lines of the request with the ID, the lines around it about its services,
// and those about the processes that handled it. The lines of the request are marked with an asterisk.
func Explain(out io.Writer, lines []Line, id string, before, after time.Duration) error {
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
		return errors.Errorf("no log lines for request %s: successful requests are sampled, and log lines over the rate limit are dropped", id)
	}
	selected := []Line{}
	for _, l := range lines {
		service, _ := l.fields["service"].(string)
		_, hasRequest := l.fields["request"]
		around := l.timestamp.After(first.Add(-before)) && l.timestamp.Before(last.Add(after))
		related := services[service] || nodes[l.node] && processEvents[l.event]
		if l.fields["request"] == id || !hasRequest && around && related {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b Line) int { return a.timestamp.Compare(b.timestamp) })
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
func (l *Line) describe() string {
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

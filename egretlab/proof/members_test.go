package proof

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"egretlane.example/egret/egretlab/pgsim"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// operatorClient calls operators' ports. It has a timeout because a paused process does not answer.
var operatorClient = &http.Client{
	Timeout: 3 * time.Second,
}

// statsClient reads members' events. Its timeout is longer because there are many of them.
var statsClient = &http.Client{
	Timeout: 20 * time.Second,
}

// stateClient polls the states of processes. Its timeout is short because a failed call is repeated or skipped.
var stateClient = &http.Client{
	Timeout: 300 * time.Millisecond,
}

// getJSON gets a path from an operators' port and decodes its JSON.
func getJSON(client *http.Client, a netip.AddrPort, path string, into any) error {
	r, err := client.Get("http://" + a.String() + path)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s%s: %s", a, path, r.Status)
	}
	return json.NewDecoder(r.Body).Decode(into)
}

// post sends a POST request without a body to an operators' port.
func post(a netip.AddrPort, path string) error {
	r, err := operatorClient.Post("http://"+a.String()+path, "text/plain", nil)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(r.Body)
		return fmt.Errorf("POST %s%s: %s: %s", a, path, r.Status, text)
	}
	return nil
}

// state returns the member's state.
func (n *node) state() (pgsim.StateReply, error) {
	s := pgsim.StateReply{}
	err := getJSON(stateClient, n.operator, "/state", &s)
	return s, err
}

// logEntries returns the member's write-ahead log.
func (n *node) logEntries() ([]walog.Entry, error) {
	var entries []walog.Entry
	err := getJSON(operatorClient, n.operator, "/log", &entries)
	return entries, err
}

// setStoreFault sets the store's fault mode: none, down, slow (2 s) or lose-answer.
func (c *cluster) setStoreFault(mode string) {
	c.t.Helper()
	if err := post(c.store.operator, "/fault?delay=2s&mode="+mode); err != nil {
		c.t.Error(err)
	}
}

// reachableLogs returns the logs of the members that answer. They may end in entries that a later promotion truncates.
func (c *cluster) reachableLogs() [][]walog.Entry {
	var logs [][]walog.Entry
	for _, m := range c.members {
		if entries, err := m.logEntries(); err == nil {
			logs = append(logs, entries)
		}
	}
	return logs
}

// stats returns the member's counters and its newest events, up to the given number.
func (n *node) stats(events int) (pgsim.StatsReply, error) {
	s := pgsim.StatsReply{}
	err := getJSON(statsClient, n.operator, fmt.Sprintf("/stats?events=%d", events), &s)
	return s, err
}

// wantWithinLimits fails the test if a member ever refused a connection, or had more connections or ran more
// statements at a time than its limits allow.
func (c *cluster) wantWithinLimits(t testing.TB) {
	t.Helper()
	for _, m := range c.members {
		s, err := m.stats(0)
		if err != nil {
			t.Errorf("stats of %s: %v", m.name, err)
			continue
		}
		if s.HighestConnections > c.settings.Connections || s.RefusedConnections > 0 || s.HighestRunning > c.settings.Slots {
			t.Errorf("%s had up to %d connections (limit %d), refused %d, and ran up to %d statements (limit %d)", m.name,
				s.HighestConnections, c.settings.Connections, s.RefusedConnections, s.HighestRunning, c.settings.Slots)
		}
	}
}

// memberAttempts returns the number of attempts to run a caller's statement on any member.
func (c *cluster) memberAttempts() int {
	c.t.Helper()
	n := 0
	for _, m := range c.members {
		s, err := m.stats(0)
		if err != nil {
			c.t.Fatal(err)
		}
		begins, statements := 0, 0
		for _, o := range s.Totals {
			switch o.Command {
			case "BEGIN":
				begins += int(o.Count)
			case "INSERT", "UPDATE", "SELECT":
				statements += int(o.Count)
			}
		}
		// A member that refuses a BEGIN does not count the statement after it.
		n += max(begins, statements)
	}
	return n
}

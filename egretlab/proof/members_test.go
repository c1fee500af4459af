package proof

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"egretlane.example/egret/egretlab/pgsim/stats"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// operatorClient bounds the calls to operators' ports. A frozen process gives no answer.
var operatorClient = &http.Client{
	Timeout: 2 * time.Second,
}

// fetch reads JSON from an operators' port.
func fetch(a netip.AddrPort, path string, into any) error {
	r, err := operatorClient.Get("http://" + a.String() + path)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s%s: %s", a, path, r.Status)
	}
	return json.NewDecoder(r.Body).Decode(into)
}

// post changes a setting through an operators' port.
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

// memberState is what a member says of itself on its operators' port.
type memberState struct {
	Member  string `json:"member"`
	Role    string `json:"role"`
	Granted uint64 `json:"granted"`
}

// state asks a member for its state.
func (n *node) state() (memberState, error) {
	s := memberState{}
	err := fetch(n.operator, "/state", &s)
	return s, err
}

// entries reads a member's log.
func (n *node) entries() ([]walog.Entry, error) {
	var entries []walog.Entry
	err := fetch(n.operator, "/log", &entries)
	return entries, err
}

// breakStore sets the store's fault: none, down, slow or lose-answer.
func (c *cluster) breakStore(mode string) {
	c.t.Helper()
	if err := post(c.store.operator, "/fault?delay=2s&mode="+mode); err != nil {
		c.t.Error(err)
	}
}

// logsNow returns the logs of the members that answer, with tails that a later promotion drops.
func (c *cluster) logsNow() [][]walog.Entry {
	var logs [][]walog.Entry
	for _, m := range c.members {
		if entries, err := m.entries(); err == nil {
			logs = append(logs, entries)
		}
	}
	return logs
}

// memberStats is what a member counted and saw.
type memberStats struct {
	Connections        []stats.Connection `json:"connections"`
	Totals             []stats.Total      `json:"totals"`
	HighestConnections int                `json:"highest-connections"`
	HighestRunning     int                `json:"highest-running"`
}

// stats reads a member's counts and its newest events.
func (n *node) stats() (memberStats, error) {
	s := memberStats{}
	err := fetch(n.operator, "/stats", &s)
	return s, err
}

// wantWithinLimits fails the test if a member ever had more connections or ran more statements than
// its limits allow.
func (c *cluster) wantWithinLimits(t testing.TB) {
	t.Helper()
	for _, m := range c.members {
		s, err := m.stats()
		if err != nil {
			t.Errorf("stats of %s: %v", m.name, err)
			continue
		}
		if s.HighestConnections > c.settings.Connections || s.HighestRunning > c.settings.Slots {
			t.Errorf("%s had %d connections of %d and ran %d statements of %d", m.name,
				s.HighestConnections, c.settings.Connections, s.HighestRunning, c.settings.Slots)
		}
	}
}

// attempts counts the callers' statements that reached members.
func (c *cluster) attempts() int {
	c.t.Helper()
	n := 0
	for _, m := range c.members {
		s, err := m.stats()
		if err != nil {
			c.t.Fatal(err)
		}
		for _, o := range s.Totals {
			switch o.Command {
			case "INSERT", "UPDATE", "SELECT":
				n += int(o.Count)
			}
		}
	}
	return n
}

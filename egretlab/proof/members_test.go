package proof

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"egretlane.example/egret/egretlab/pgsim/walog"
)

// operatorClient bounds the calls to operators' ports.
var operatorClient = &http.Client{
	Timeout: 5 * time.Second,
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

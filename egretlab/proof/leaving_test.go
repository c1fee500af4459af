package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"egretlane.example/egret/egretlab/pgsim/stats"
)

// maxLeavingDelay is the time after which a server that is leaving must get no new transactions.
const maxLeavingDelay = 5 * time.Second

// readerInterval is the delay between two reads of a caller. It keeps the rate low, so that the members' ring buffers
// of events hold all events of a test.
const readerInterval = 10 * time.Millisecond

// vmEntry is a VM in the JSON of the list.
type vmEntry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Domain  string `json:"failure-domain"`
	Leaving bool   `json:"leaving"`
}

// putVMList sets the list of VMs to all members and proxies.
func (c *cluster) putVMList() {
	c.t.Helper()
	var list []vmEntry
	for _, n := range append(append([]*node(nil), c.members...), c.proxies...) {
		list = append(list, vmEntry{
			Name:    n.name,
			Address: n.address.String(),
			Region:  n.location.region,
			Domain:  n.location.domain,
		})
	}
	data, err := json.Marshal(list)
	if err != nil {
		c.t.Fatal(err)
	}
	r, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/vms", c.vmList.address), bytes.NewReader(data))
	if err != nil {
		c.t.Fatal(err)
	}
	reply, err := operatorClient.Do(r)
	if err != nil {
		c.t.Fatal(err)
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		c.t.Fatalf("PUT /vms: %s", reply.Status)
	}
}

// leavingSource is a source from which proxies learn that a member is leaving.
type leavingSource struct {
	name string

	// primary says that the primary leaves. Otherwise, a replica leaves.
	primary bool

	// announce publishes at this source that the member is leaving.
	announce func(c *cluster, m *node) error
}

var leavingSources = []leavingSource{
	{
		name: "own-word-list-down",
		announce: func(c *cluster, m *node) error {
			if err := post(c.vmList.address, "/fault?mode=down"); err != nil {
				return err
			}
			return post(m.operator, "/leaving?value=true")
		},
	},
	{
		name: "list-lags",
		announce: func(c *cluster, m *node) error {
			if err := post(c.vmList.address, "/fault?mode=none"); err != nil {
				return err
			}
			err := post(c.vmList.address, "/leaving?value=true&name="+m.name)
			// No proxy can know it before the list shows it.
			time.Sleep(c.settings.VMListDelay)
			return err
		},
	},
	{
		name:    "primary",
		primary: true,
		announce: func(_ *cluster, m *node) error {
			return post(m.operator, "/leaving?value=true")
		},
	},
	{
		name: "tables",
		announce: func(c *cluster, m *node) error {
			s := c.tables
			s.Leaving = m.name
			c.mustApply(s)
			return nil
		},
	},
}

// TestLeavingServer announces from each source that a backend server is leaving, while callers read and place orders.
// The server must get no new transactions after maxLeavingDelay, and no order may be lost.
func TestLeavingServer(t *testing.T) {
	t.Parallel()
	for _, f := range leavingSources {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterSettings{
				VMListDelay: time.Second,
			})
			c.putVMList()
			testLeaving(t, c, f)
		})
	}
}

func testLeaving(t *testing.T, c *cluster, f leavingSource) {
	r := c.startReaders(8, "leaving-"+f.name)
	defer r.stop()
	l := c.startLoad(loadSettings{
		Callers:   3,
		Seed:      71,
		Prefix:    "leaving-order-" + f.name,
		Pin:       true,
		ThinkTime: readerInterval,
	})
	defer l.stop()
	leaving, other := c.members[1], c.members[2]
	if f.primary {
		leaving = c.members[0]
	}
	waitUntil(t, 20*time.Second, "50 transactions on "+leaving.name, func() error {
		if n := len(c.transactionsAfter(leaving, time.Time{})); n < 50 {
			return fmt.Errorf("%d transactions", n)
		}
		return nil
	})
	if err := f.announce(c, leaving); err != nil {
		t.Fatal(err)
	}
	announced := time.Now()
	time.Sleep(maxLeavingDelay + time.Second)
	late := c.transactionsAfter(leaving, announced.Add(maxLeavingDelay))
	if len(late) > 0 {
		t.Errorf("%d transactions began on %s more than %s after it was announced as leaving, the first: %+v",
			len(late), leaving.name, maxLeavingDelay, late[0])
	}
	if len(c.transactionsAfter(other, announced.Add(maxLeavingDelay))) == 0 {
		t.Errorf("%s got no transactions either, so the check is meaningless", other.name)
	}
	t.Logf("last transaction %s after the announcement", lastTransaction(c, leaving).Sub(announced).Round(time.Millisecond))
	l.waitAcknowledged(t, 20)
	c.wantNoViolations(t, l.stop())
	t.Run("baseline", func(t *testing.T) {
		conn, err := dialAs(t.Context(), leaving.address.String(), userName, "")
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close(t.Context())
		if _, err := execSQL(t.Context(), conn, "SELECT count(*) FROM orders"); err != nil {
			t.Fatal(err)
		}
		if len(c.transactionsAfter(leaving, announced.Add(maxLeavingDelay))) == 0 {
			t.Error("the check does not detect a transaction on a server that is leaving")
		}
	})
}

// startReaders starts callers that each place one order and then read it again and again.
func (c *cluster) startReaders(callers int, prefix string) *load {
	l := &load{
		cluster:  c,
		recorder: newRecorder(),
	}
	for i := range callers {
		l.done.Go(func() {
			s := c.newSession(fmt.Sprintf("%s-%d", prefix, i))
			s.recorder = l.recorder
			defer s.close()
			s.placeOrder(i%len(c.proxies), s.name, "sieve 2mm")
			for !l.stopping.Load() {
				s.readItem(i%len(c.proxies), s.name)
				time.Sleep(readerInterval)
			}
		})
	}
	return l
}

// transactionsAfter returns the begin events of the callers' transactions that started on a member after a time.
func (c *cluster) transactionsAfter(m *node, after time.Time) []stats.Event {
	c.t.Helper()
	s, err := m.stats(stats.MaxEvents)
	if err != nil {
		c.t.Fatal(err)
	}
	var found []stats.Event
	for _, k := range s.Connections {
		for _, e := range k.Events {
			if e.Kind == stats.KindBegin && e.Time.After(after) {
				found = append(found, e)
			}
		}
	}
	return found
}

// lastTransaction returns when the latest transaction on the member began.
func lastTransaction(c *cluster, m *node) time.Time {
	last := time.Time{}
	for _, e := range c.transactionsAfter(m, time.Time{}) {
		if e.Time.After(last) {
			last = e.Time
		}
	}
	return last
}

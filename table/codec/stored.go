package codec

import (
	"encoding/json"
	"fmt"
	"time"

	"egretlane.example/egret"
)

// ParseStored parses and checks the output of StoredJSON, including the edits. The findings of Check have paths but
// no locations.
//
// Unknown keys are ignored, so that a proxy accepts tables that a later version of egretlane has written.
func ParseStored(data []byte) (*egret.Tables, Findings) {
	if len(data) > MaxBytes {
		return &egret.Tables{}, Findings{
			storedFault(fmt.Sprintf("size of %d bytes exceeds the limit of %d", len(data), MaxBytes)),
		}
	}
	d := document{}
	err := json.Unmarshal(data, &d)
	if err != nil {
		return &egret.Tables{}, Findings{
			storedFault(err.Error()),
		}
	}
	if d.Routes == nil || d.Pools == nil {
		return &egret.Tables{}, Findings{
			storedFault(`key "routes" or "pools" is missing or null`),
		}
	}
	t := d.tables()
	return t, Check(t)
}

// storedFault returns a fault in the stored tables as a whole.
func storedFault(text string) Finding {
	return Finding{
		Location: Location{
			File: "stored tables",
		},
		Severity: Fault,
		Text:     text,
	}
}

func (d *document) tables() *egret.Tables {
	t := &egret.Tables{
		Routes: make([]egret.Route, 0, len(d.Routes)),
		Pools:  make([]egret.Pool, 0, len(d.Pools)),
	}
	for _, r := range d.Routes {
		t.Routes = append(t.Routes, r.route())
	}
	for _, p := range d.Pools {
		t.Pools = append(t.Pools, p.pool())
	}
	for _, e := range d.Edits {
		t.Edits = append(t.Edits, egret.Edit(e))
	}
	return t
}

func (r route) route() egret.Route {
	return egret.Route{
		Name:           r.Name,
		Caller:         r.Caller,
		Database:       r.Database,
		RequestKinds:   r.Kinds,
		Pool:           r.Pool,
		Class:          r.Class,
		Budget:         time.Duration(r.Budget),
		MaxAge:         time.Duration(r.MaxAge),
		AllowReplicas:  r.Replicas,
		Retryable:      r.Repeatable,
		ConfirmTimeout: time.Duration(r.ConfirmWait),
	}
}

func (p pool) pool() egret.Pool {
	q := egret.Pool{
		Name:                p.Name,
		Database:            p.Database,
		Slots:               p.Slots,
		Connections:         p.Connections,
		ReservedConnections: p.Reserve,
		QueueLimit:          p.Queue,
		OrderSharePercent:   p.OrderShare,
		Groups:              make([]egret.Group, 0, len(p.Groups)),
	}
	for _, w := range p.Weights {
		q.Weights = append(q.Weights, egret.Weight(w))
	}
	for _, g := range p.Groups {
		q.Groups = append(q.Groups, g.group())
	}
	return q
}

func (g group) group() egret.Group {
	h := egret.Group{
		Name:    g.Name,
		Members: make([]egret.Member, 0, len(g.Members)),
	}
	for _, m := range g.Members {
		h.Members = append(h.Members, egret.Member(m))
	}
	return h
}

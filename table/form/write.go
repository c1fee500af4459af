package form

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"go.yaml.in/yaml/v3"

	"egretlane.example/egret"
)

// document is the tables as they are written. Only what is zero by default may be left out, so that
// a later version with other defaults reads the same.
type document struct {
	Routes []route `yaml:"routes" json:"routes"`
	Pools  []pool  `yaml:"pools" json:"pools"`
	Edits  []edit  `yaml:"edits,omitempty" json:"edits,omitempty"`
}

type route struct {
	Name        string   `yaml:"name" json:"name"`
	Caller      string   `yaml:"caller" json:"caller"`
	Database    string   `yaml:"database" json:"database"`
	Kinds       []string `yaml:"kinds,omitempty,flow" json:"kinds,omitempty"`
	Pool        string   `yaml:"pool" json:"pool"`
	Class       string   `yaml:"class" json:"class"`
	Budget      string   `yaml:"budget" json:"budget"`
	MaxAge      string   `yaml:"max-age,omitempty" json:"max-age,omitempty"`
	Replicas    bool     `yaml:"replicas" json:"replicas"`
	Repeatable  bool     `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	ConfirmWait string   `yaml:"confirm-wait" json:"confirm-wait"`
}

type pool struct {
	Name        string   `yaml:"name" json:"name"`
	Slots       int      `yaml:"slots" json:"slots"`
	Connections int      `yaml:"connections" json:"connections"`
	Reserve     int      `yaml:"reserve" json:"reserve"`
	Queue       int      `yaml:"queue" json:"queue"`
	OrderShare  int      `yaml:"order-share" json:"order-share"`
	Weights     []weight `yaml:"weights,omitempty" json:"weights,omitempty"`
	Groups      []group  `yaml:"groups" json:"groups"`
}

type weight struct {
	Caller string `yaml:"caller" json:"caller"`
	Weight int    `yaml:"weight" json:"weight"`
}

type group struct {
	Name    string   `yaml:"name" json:"name"`
	Members []member `yaml:"members" json:"members"`
}

type member struct {
	Name    string `yaml:"name" json:"name"`
	Address string `yaml:"address" json:"address"`
	Region  string `yaml:"region" json:"region"`
	Domain  string `yaml:"failure-domain" json:"failure-domain"`
	Leaving bool   `yaml:"leaving,omitempty" json:"leaving,omitempty"`
}

type edit struct {
	ID      string `yaml:"id" json:"id"`
	Author  string `yaml:"author" json:"author"`
	Time    string `yaml:"time" json:"time"`
	Summary string `yaml:"summary" json:"summary"`
}

// YAML writes routes and pools for operators, without the edits.
func YAML(t *egret.Tables) ([]byte, error) {
	d := toDocument(t)
	d.Edits = nil
	b := bytes.Buffer{}
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	err := e.Encode(d)
	if err != nil {
		return nil, errors.Annotate(err, "writing the tables")
	}
	err = e.Close()
	return b.Bytes(), errors.Annotate(err, "writing the tables")
}

// JSON writes routes and pools for operators, without the edits.
func JSON(t *egret.Tables) ([]byte, error) {
	d := toDocument(t)
	d.Edits = nil
	data, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, errors.Annotate(err, "writing the tables")
	}
	return append(data, '\n'), nil
}

// Stored writes the tables as they are stored, with their edits. Equal tables give equal bytes.
func Stored(t *egret.Tables) ([]byte, error) {
	data, err := json.Marshal(toDocument(t))
	return data, errors.Annotate(err, "writing the tables")
}

func toDocument(t *egret.Tables) document {
	d := document{
		Routes: make([]route, 0, len(t.Routes)),
		Pools:  make([]pool, 0, len(t.Pools)),
	}
	for _, r := range t.Routes {
		d.Routes = append(d.Routes, toRoute(r))
	}
	for _, p := range t.Pools {
		d.Pools = append(d.Pools, toPool(p))
	}
	for _, e := range t.Edits {
		d.Edits = append(d.Edits, edit{
			ID:      e.ID,
			Author:  e.Author,
			Time:    e.Time.UTC().Format(time.RFC3339Nano),
			Summary: e.Summary,
		})
	}
	return d
}

func toRoute(r egret.Route) route {
	age := ""
	if r.MaxAge != 0 {
		age = r.MaxAge.String()
	}
	return route{
		Name:        r.Name,
		Caller:      r.Caller,
		Database:    r.Database,
		Kinds:       r.Kinds,
		Pool:        r.Pool,
		Class:       string(r.Class),
		Budget:      r.Budget.String(),
		MaxAge:      age,
		Replicas:    r.Replicas,
		Repeatable:  r.Repeatable,
		ConfirmWait: r.ConfirmWait.String(),
	}
}

func toPool(p egret.Pool) pool {
	f := pool{
		Name:        p.Name,
		Slots:       p.Slots,
		Connections: p.Connections,
		Reserve:     p.Reserve,
		Queue:       p.Queue,
		OrderShare:  p.OrderShare,
		Groups:      make([]group, 0, len(p.Groups)),
	}
	for _, w := range p.Weights {
		f.Weights = append(f.Weights, weight(w))
	}
	for _, g := range p.Groups {
		f.Groups = append(f.Groups, toGroup(g))
	}
	return f
}

func toGroup(g egret.Group) group {
	f := group{
		Name:    g.Name,
		Members: make([]member, 0, len(g.Members)),
	}
	for _, m := range g.Members {
		f.Members = append(f.Members, member{
			Name:    m.Name,
			Address: m.Address.String(),
			Region:  m.Region,
			Domain:  m.Domain,
			Leaving: m.Leaving,
		})
	}
	return f
}

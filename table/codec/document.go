package codec

import (
	"net/netip"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// document is the serialized form of the tables. A key is omitted only if its default is the zero value. All others
// are written even if they have the default, so that a later version with other defaults reads the same tables.
type document struct {
	Routes []route `yaml:"routes" json:"routes"`
	Pools  []pool  `yaml:"pools" json:"pools"`
	Edits  []edit  `yaml:"edits,omitempty" json:"edits,omitempty"`
}

type route struct {
	Name        string      `yaml:"name" json:"name"`
	Caller      string      `yaml:"caller" json:"caller"`
	Database    string      `yaml:"database" json:"database"`
	Kinds       []string    `yaml:"kinds,omitempty,flow" json:"kinds,omitempty"`
	Pool        string      `yaml:"pool" json:"pool"`
	Class       egret.Class `yaml:"class" json:"class"`
	Budget      duration    `yaml:"budget" json:"budget"`
	MaxAge      duration    `yaml:"max-age,omitempty" json:"max-age,omitempty"`
	Replicas    bool        `yaml:"replicas" json:"replicas"`
	Repeatable  bool        `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	ConfirmWait duration    `yaml:"confirm-wait" json:"confirm-wait"`
}

type pool struct {
	Name        string   `yaml:"name" json:"name"`
	Database    string   `yaml:"database,omitempty" json:"database,omitempty"`
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
	Name    string         `yaml:"name" json:"name"`
	Address netip.AddrPort `yaml:"address" json:"address"`
	Region  string         `yaml:"region" json:"region"`
	Domain  string         `yaml:"failure-domain" json:"failure-domain"`
	Leaving bool           `yaml:"leaving,omitempty" json:"leaving,omitempty"`
}

type edit struct {
	ID      string    `yaml:"id" json:"id"`
	Author  string    `yaml:"author" json:"author"`
	Time    time.Time `yaml:"time" json:"time"`
	Summary string    `yaml:"summary" json:"summary"`
}

// duration is a time.Duration that is serialized as a text with its unit.
type duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (s duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(s).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = duration(d)
	return errors.Trace(err)
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
		e.Time = e.Time.UTC()
		d.Edits = append(d.Edits, edit(e))
	}
	return d
}

func toRoute(r egret.Route) route {
	return route{
		Name:        r.Name,
		Caller:      r.Caller,
		Database:    r.Database,
		Kinds:       r.RequestKinds,
		Pool:        r.Pool,
		Class:       r.Class,
		Budget:      duration(r.Budget),
		MaxAge:      duration(r.MaxAge),
		Replicas:    r.AllowReplicas,
		Repeatable:  r.Retryable,
		ConfirmWait: duration(r.ConfirmTimeout),
	}
}

func toPool(p egret.Pool) pool {
	f := pool{
		Name:        p.Name,
		Database:    p.Database,
		Slots:       p.Slots,
		Connections: p.Connections,
		Reserve:     p.ReservedConnections,
		Queue:       p.QueueLimit,
		OrderShare:  p.OrderSharePercent,
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
		f.Members = append(f.Members, member(m))
	}
	return f
}

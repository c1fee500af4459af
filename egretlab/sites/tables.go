package sites

import (
	"time"

	"egretlane.example/egret"
)

// Kinds of requests, as they are named in request tags and in routes.
const (
	KindOrder       = "order"
	KindCertificate = "certificate"
	KindStock       = "stock"
	KindSchedule    = "schedule"
)

// Settings of the pools and routes that all deployments have in common.
const (
	reservedConnections = 6
	queuedTransactions  = 200
	orderSharePercent   = 80
	requestBudget       = 5 * time.Second
	confirmTimeout      = time.Second
)

// Tables returns the routes and the pool of the set.
func (s *Set) Tables() *egret.Tables {
	d := s.Deployment
	t := &egret.Tables{
		Routes: []egret.Route{
			s.route("orders", KindOrder, egret.ClassOrder),
			s.route("certificates", KindCertificate, egret.ClassNormal),
			s.route("stock", KindStock, egret.ClassNormal),
			s.route("schedules", KindSchedule, egret.ClassDeferrable),
			s.route("all", "", egret.ClassNormal),
		},
		Pools: []egret.Pool{
			{
				Name:                d.Pool,
				Slots:               d.Slots,
				Connections:         d.Connections,
				ReservedConnections: reservedConnections,
				QueueLimit:          queuedTransactions,
				OrderSharePercent:   orderSharePercent,
				Groups:              s.groups(),
			},
		},
	}
	t.Routes[2].MaxAge = d.Mix.StockAge
	return t
}

func (s *Set) route(name, kind string, c egret.Class) egret.Route {
	r := egret.Route{
		Name:           name,
		Caller:         "*",
		Database:       s.Deployment.Database,
		Pool:           s.Deployment.Pool,
		Class:          c,
		Budget:         requestBudget,
		AllowReplicas:  true,
		ConfirmTimeout: confirmTimeout,
	}
	if kind != "" {
		r.RequestKinds = []string{kind}
	}
	return r
}

func (s *Set) groups() []egret.Group {
	groups := make([]egret.Group, 0, s.Deployment.Groups)
	for _, m := range s.Members() {
		if m.StartsAsPrimary {
			groups = append(groups, egret.Group{
				Name: m.Group,
			})
		}
		g := &groups[len(groups)-1]
		g.Members = append(g.Members, egret.Member{
			Name:    m.Name,
			Address: m.Address,
			Region:  m.Domain.Region,
			Domain:  m.Domain.Name,
		})
	}
	return groups
}

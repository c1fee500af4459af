package sites

import (
	"fmt"
	"path/filepath"
	"strings"

	"egretlane.example/egret"
)

// The programs of a set.
const (
	programLab   = "egretlab"
	programProxy = "egretlane"
)

// seedPeers is how many proxies a proxy is told of.
const seedPeers = 3

// Process is one process of a set.
type Process struct {
	// Name is unique in the set. Its files are named by it.
	Name string

	// Program is the program that is run.
	Program string

	// Ready is the address whose /ready answers once the process serves.
	Ready string

	// Arguments has no spaces in it.
	Arguments []string
}

// String returns the process as one line: name, program, ready address and arguments.
func (p Process) String() string {
	return strings.Join(append([]string{p.Name, p.Program, p.Ready}, p.Arguments...), " ")
}

// Platform returns the processes that have to run before the tables are applied.
func (s *Set) Platform() []Process {
	processes := []Process{s.store(), s.list()}
	if !s.Flat {
		processes = append(processes, s.relay())
	}
	first := map[string]Member{}
	for _, m := range s.Members() {
		if m.First {
			first[m.Group] = m
		}
		processes = append(processes, s.member(m, first[m.Group]))
	}
	return processes
}

// Entries returns the processes of the proxies.
func (s *Set) Entries() []Process {
	proxies := s.Proxies()
	processes := make([]Process, 0, len(proxies))
	for _, p := range proxies {
		processes = append(processes, s.proxy(p, proxies))
	}
	return processes
}

func (s *Set) store() Process {
	return Process{
		Name:    "store",
		Program: programLab,
		Ready:   local(storeOperatorPort).String(),
		Arguments: []string{
			"store",
			"--listen", local(storePort).String(),
			"--operator-listen", local(storeOperatorPort).String(),
		},
	}
}

func (s *Set) list() Process {
	return Process{
		Name:    "vms",
		Program: programLab,
		Ready:   local(listPort).String(),
		Arguments: []string{
			"vms",
			"--listen", local(listPort).String(),
			"--delay", "2s",
		},
	}
}

func (s *Set) relay() Process {
	return Process{
		Name:    "links",
		Program: programLab,
		Ready:   local(linksOperatorPort).String(),
		Arguments: []string{
			"links",
			"--plan", filepath.Join(s.Folder, "links.yaml"),
			"--operator-listen", local(linksOperatorPort).String(),
		},
	}
}

func (s *Set) member(m, first Member) Process {
	d := s.Deployment
	if s.Flat {
		d.StatementCost = 0
	}
	p := Process{
		Name:    m.Name,
		Program: programLab,
		Ready:   m.Operator.String(),
		Arguments: []string{
			"member",
			"--name", m.Name,
			"--listen", m.Address.String(),
			"--operator-listen", m.Operator.String(),
			"--slots", fmt.Sprint(d.Slots),
			"--connections", fmt.Sprint(d.Connections + spareConnections),
			"--connect-cost", d.ConnectCost.String(),
			"--statement-cost", d.StatementCost.String(),
			"--data", filepath.Join(s.Folder, m.Name+".data"),
		},
	}
	if m.First {
		p.Arguments = append(p.Arguments, "--primary")
	} else {
		p.Arguments = append(p.Arguments, "--upstream", first.Address.String())
	}
	p.Arguments = append(p.Arguments, ruleArguments(s.Rules(m.Name))...)
	return p
}

func (s *Set) proxy(p Proxy, all []Proxy) Process {
	rules := s.Rules(p.Domain.Name)
	// The list's URL is not subject to the rules.
	list := rules.Resolve(local(listPort))
	arguments := []string{
		"--node-id", p.Name,
		"--region", p.Domain.Region,
		"--failure-domain", p.Domain.Name,
		"--caller-listen", p.Callers.String(),
		"--peer-listen", p.Peers.String(),
		"--operator-listen", p.Operator.String(),
		"--store", local(storePort).String(),
		"--vm-list", fmt.Sprintf("http://%s/vms", list),
		"--token-key-file", filepath.Join(s.Folder, "token-keys"),
	}
	for i := range min(seedPeers, len(all)) {
		// One of each domain, as far as the order of proxies has it.
		seed := all[i*len(all)/seedPeers]
		if seed.Name != p.Name {
			arguments = append(arguments, "--seed-peer", seed.Peers.String())
		}
	}
	return Process{
		Name:      p.Name,
		Program:   programProxy,
		Ready:     p.Operator.String(),
		Arguments: append(arguments, ruleArguments(rules)...),
	}
}

func ruleArguments(m egret.AddressMap) []string {
	arguments := make([]string, 0, 2*len(m.Rules))
	for _, r := range m.Rules {
		arguments = append(arguments, "--address-map", fmt.Sprintf("%s=%s", r.From, r.To))
	}
	return arguments
}

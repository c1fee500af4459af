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

// seedPeerCount is the number of proxies that are seed peers of the others.
const seedPeerCount = 3

// Process is one process of a set.
type Process struct {
	// Name is unique in the set. The names of the process's files start with it.
	Name string

	// Program is the name of the program.
	Program string

	// ReadyAddress is the address that answers /ready once the process serves.
	ReadyAddress string

	// Arguments has the program's arguments. None contains a space.
	Arguments []string
}

// String returns the process as one line: the name, the program, the ready address and the arguments.
func (p Process) String() string {
	return strings.Join(append([]string{p.Name, p.Program, p.ReadyAddress}, p.Arguments...), " ")
}

// PlatformProcesses returns the processes that must run before the tables are applied: the simulated store, VM list
// and network, and the members.
func (s *Set) PlatformProcesses() []Process {
	processes := []Process{s.storeProcess(), s.vmListProcess()}
	if !s.Flat {
		processes = append(processes, s.linksProcess())
	}
	first := map[string]Member{}
	for _, m := range s.Members() {
		if m.StartsAsPrimary {
			first[m.Group] = m
		}
		processes = append(processes, s.memberProcess(m, first[m.Group]))
	}
	return processes
}

// ProxyProcesses returns the processes of the proxies.
func (s *Set) ProxyProcesses() []Process {
	proxies := s.Proxies()
	processes := make([]Process, 0, len(proxies))
	for _, p := range proxies {
		processes = append(processes, s.proxyProcess(p, proxies))
	}
	return processes
}

func (s *Set) storeProcess() Process {
	return Process{
		Name:         "store",
		Program:      programLab,
		ReadyAddress: loopback(storeOperatorPort).String(),
		Arguments: []string{
			"store",
			"--listen", loopback(storePort).String(),
			"--operator-listen", loopback(storeOperatorPort).String(),
		},
	}
}

func (s *Set) vmListProcess() Process {
	return Process{
		Name:         "vms",
		Program:      programLab,
		ReadyAddress: loopback(vmListPort).String(),
		Arguments: []string{
			"vms",
			"--listen", loopback(vmListPort).String(),
			"--delay", "2s",
		},
	}
}

func (s *Set) linksProcess() Process {
	return Process{
		Name:         "links",
		Program:      programLab,
		ReadyAddress: loopback(linksOperatorPort).String(),
		Arguments: []string{
			"links",
			"--plan", filepath.Join(s.Folder, "links.yaml"),
			"--operator-listen", loopback(linksOperatorPort).String(),
		},
	}
}

func (s *Set) memberProcess(m, first Member) Process {
	d := s.Deployment
	if s.Flat {
		d.StatementCost = 0
	}
	p := Process{
		Name:         m.Name,
		Program:      programLab,
		ReadyAddress: m.Operator.String(),
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
	if m.StartsAsPrimary {
		p.Arguments = append(p.Arguments, "--primary")
	} else {
		p.Arguments = append(p.Arguments, "--upstream", first.Address.String())
	}
	p.Arguments = append(p.Arguments, addressMapArguments(s.Rules(m.Name))...)
	return p
}

func (s *Set) proxyProcess(p Proxy, all []Proxy) Process {
	rules := s.Rules(p.Domain.Name)
	// The VM list's URL is not subject to the rules.
	list := rules.Resolve(loopback(vmListPort))
	arguments := []string{
		"--node-id", p.Name,
		"--region", p.Domain.Region,
		"--failure-domain", p.Domain.Name,
		"--caller-listen", p.Callers.String(),
		"--peer-listen", p.Peers.String(),
		"--operator-listen", p.Operator.String(),
		"--store", loopback(storePort).String(),
		"--vm-list", fmt.Sprintf("http://%s/vms", list),
		"--token-key-file", filepath.Join(s.Folder, "token-keys"),
	}
	for i := range min(seedPeerCount, len(all)) {
		// Evenly spaced, as proxies are ordered by failure domain: the seeds should be in different ones.
		seed := all[i*len(all)/seedPeerCount]
		if seed.Name != p.Name {
			arguments = append(arguments, "--seed-peer", seed.Peers.String())
		}
	}
	return Process{
		Name:         p.Name,
		Program:      programProxy,
		ReadyAddress: p.Operator.String(),
		Arguments:    append(arguments, addressMapArguments(rules)...),
	}
}

func addressMapArguments(m egret.AddressMap) []string {
	arguments := make([]string, 0, 2*len(m.Rules))
	for _, r := range m.Rules {
		arguments = append(arguments, "--address-map", fmt.Sprintf("%s=%s", r.From, r.To))
	}
	return arguments
}

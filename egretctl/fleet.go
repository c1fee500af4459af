package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"egretlane.example/egret/internal/report"
)

// maxReportBytes bounds the size of a process's report.
const maxReportBytes = 64 << 20

// fleetStatus is the state of processes of a fleet, in the order of their addresses.
type fleetStatus struct {
	Processes []processRow `json:"processes"`
}

// processRow is the state of a process.
type processRow struct {
	Address netip.AddrPort `json:"address"`

	// Report is nil if the process returned none, for the reason in Error.
	Report *report.Process `json:"report,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// showFleet prints the state of processes of a fleet.
func showFleet(ctx context.Context, c *cli.Command, addresses []netip.AddrPort, format string) error {
	s := fleetStatus{
		Processes: make([]processRow, len(addresses)),
	}
	semaphore := make(chan struct{}, maxConcurrentCalls)
	wg := sync.WaitGroup{}
	for i, a := range addresses {
		semaphore <- struct{}{}
		wg.Go(func() {
			s.Processes[i] = fetchReport(ctx, a)
			<-semaphore
		})
	}
	wg.Wait()
	if err := s.write(c.Root().Writer, format); err != nil {
		return errors.Annotate(err, "printing the status")
	}
	failed := 0
	for _, p := range s.Processes {
		if p.Error != "" {
			failed++
		}
	}
	return missingStatusError(failed, len(s.Processes))
}

// fetchReport asks a process for its report.
func fetchReport(ctx context.Context, a netip.AddrPort) processRow {
	row := processRow{
		Address: a,
	}
	p := &report.Process{}
	if err := getJSON(ctx, "http://"+a.String()+report.Path, p); err != nil {
		row.Error = err.Error()
		return row
	}
	row.Report = p
	return row
}

func getJSON(ctx context.Context, url string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return errors.Trace(err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s", url, r.Status)
	}
	return errors.Annotate(json.NewDecoder(io.LimitReader(r.Body, maxReportBytes)).Decode(into), url)
}

// write writes the state as tables or JSON.
func (s *fleetStatus) write(out io.Writer, format string) error {
	if format == "json" {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return errors.Trace(e.Encode(s))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PROCESS\tNODE\tREGION\tFAILURE-DOMAIN\tREADY\tSERVICES")
	for _, p := range s.Processes {
		if p.Error != "" {
			fmt.Fprintf(w, "%s\tno status: %s\n", p.Address, p.Error)
			continue
		}
		r := p.Report
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n", p.Address, r.Node, r.Region, r.Domain, yesNo(r.Ready), len(r.Services))
	}
	s.printServices(w)
	s.printBuckets(w)
	s.printRefusals(w)
	return errors.Trace(w.Flush())
}

func (s *fleetStatus) printServices(w io.Writer) {
	services, members := strings.Builder{}, strings.Builder{}
	for _, p := range s.reports() {
		for _, v := range p.Services {
			fmt.Fprintf(&services, "%s\t%s\t%s\t%d\n", v.Service, p.Node, orUnknown(v.Primary), v.Waiting)
			for _, m := range v.Members {
				fmt.Fprintf(&members, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n",
					m.Member, v.Service, p.Node, m.Limit, m.Slots, m.Running, m.Idle, m.Opening, m.InUse)
			}
		}
	}
	fmt.Fprintf(w, "\nSERVICE\tHOLDER\tPRIMARY\tWAITING\n%s", services.String())
	fmt.Fprintf(w, "\nMEMBER\tSERVICE\tHOLDER\tLIMIT\tSLOTS\tRUNNING\tIDLE\tOPENING\tIN-USE\n%s", members.String())
}

func (s *fleetStatus) printBuckets(w io.Writer) {
	fmt.Fprintln(w, "\nWORKSPACE\tSERVICE\tHOLDER\tTOKENS\tDEPTH\tRATE")
	for _, p := range s.reports() {
		for _, v := range p.Services {
			for _, b := range v.Buckets {
				fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%.1f\t%.2f/s\n", b.Workspace, v.Service, p.Node, b.Tokens, b.Depth, b.Rate)
			}
		}
	}
}

func (s *fleetStatus) printRefusals(w io.Writer) {
	fmt.Fprintln(w, "\nREFUSED\tSERVICE\tPROCESS\tCAUSE\tCOUNT")
	for _, p := range s.reports() {
		for _, r := range p.Refusals {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", orUnknown(r.Workspace), unknownValue, p.Node, r.Cause, r.Count)
		}
		for _, v := range p.Services {
			for _, r := range v.Refusals {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", orUnknown(r.Workspace), v.Service, p.Node, r.Cause, r.Count)
			}
		}
	}
}

// reports returns the reports of the processes that have returned one.
func (s *fleetStatus) reports() []*report.Process {
	all := []*report.Process{}
	for _, p := range s.Processes {
		if p.Report != nil {
			all = append(all, p.Report)
		}
	}
	return all
}

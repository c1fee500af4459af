package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
)

// unknownValue is printed for a value that is unknown.
const unknownValue = "-"

// printTables writes the overview as aligned text tables.
func (o *overview) printTables(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	o.printStore(w)
	fmt.Fprintln(w)
	o.printProxies(w)
	fmt.Fprintln(w)
	o.printGroups(w)
	fmt.Fprintln(w)
	o.printMembers(w)
	return errors.Trace(w.Flush())
}

func (o *overview) printStore(w io.Writer) {
	if o.Store.Error != "" {
		fmt.Fprintf(w, "store: no answer: %s\n", o.Store.Error)
		return
	}
	fmt.Fprintf(w, "store: revision %d\n", o.Store.Revision)
}

func (o *overview) printProxies(w io.Writer) {
	fmt.Fprintln(w, "PROXY\tID\tREGION\tFAILURE-DOMAIN\tSTATE\tREVISION\tREADY\tSESSIONS\tPEERS")
	for _, p := range o.Proxies {
		if p.Error != "" {
			fmt.Fprintf(w, "%s\tno status: %s\n", p.Address, p.Error)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%d\t%d\n",
			p.Address, p.ID, p.Region, p.Domain, p.State, p.Revision, yesNo(p.Ready), p.Sessions, p.Peers)
	}
}

func (o *overview) printGroups(w io.Writer) {
	fmt.Fprintln(w, "GROUP\tTERM\tPRIMARY\tBEHIND")
	for _, g := range o.Groups {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", g.Group, g.Term, orUnknown(g.Primary), orUnknown(strings.Join(g.Behind, " ")))
	}
}

func (o *overview) printMembers(w io.Writer) {
	fmt.Fprintln(w, "MEMBER\tGROUP\tLANE\tREACHED\tROLE\tGRANTED\tRECEIVED\tAPPLIED\tLAG\tCONNECTIONS\tRUNNING\tQUEUED")
	for _, m := range o.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d\t%d\t%d\n",
			m.Member, m.Group, m.Lane, yesNo(m.Reached), orUnknown(m.Role), m.Granted, m.Received, m.Applied,
			lagText(m.LagMillis), m.Connections, m.Running, m.Queued)
	}
}

// String returns the position as term/offset.
func (p position) String() string {
	return fmt.Sprintf("%d/%d", p.Term, p.Offset)
}

func lagText(millis *float64) string {
	if millis == nil {
		return unknownValue
	}
	return fmt.Sprintf("%.1fms", *millis)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func orUnknown(text string) string {
	if text == "" {
		return unknownValue
	}
	return text
}

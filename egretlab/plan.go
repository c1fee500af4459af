package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
	"go.yaml.in/yaml/v3"

	"egretlane.example/egret/egretlab/sites"
	"egretlane.example/egret/table/form"
)

// fileMode is that of the files of a plan. They hold no secrets.
const fileMode = 0o644

// setSettings name a set of local processes.
type setSettings struct {
	// deployment is the name of the sizes.
	deployment string

	// folder is where the set keeps its files.
	folder string

	// flat leaves the network's latencies out.
	flat bool
}

func (s *setSettings) flags() []cli.Flag {
	return []cli.Flag{
		textFlag(&s.deployment, "deployment", "EGRETLAB_DEPLOYMENT", "bregonzi", "`NAME` of the sizes: bregonzi or tapis"),
		textFlag(&s.folder, "dir", "EGRETLAB_DIR", ".run/measure", "`FOLDER` of the set's files"),
		&cli.BoolFlag{
			Name:        "flat",
			Usage:       "leave the network's latencies and the time of statements out",
			Sources:     cli.EnvVars("EGRETLAB_FLAT"),
			Destination: &s.flat,
		},
	}
}

func (s *setSettings) set() (sites.Set, error) {
	d, err := sites.Find(s.deployment)
	return sites.Set{
		Deployment: d,
		Folder:     s.folder,
		Flat:       s.flat,
	}, errors.Trace(err)
}

// planCommand writes what a script needs to start a set.
func planCommand() *cli.Command {
	s := &setSettings{}
	return &cli.Command{
		Name:  "plan",
		Usage: "write the files that a set of local processes is started from",
		Flags: s.flags(),
		Action: func(context.Context, *cli.Command) error {
			return s.write()
		},
	}
}

// write writes tables.yaml, links.yaml, and platform and entries with one process a line.
func (s *setSettings) write() error {
	set, err := s.set()
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.MkdirAll(s.folder, 0o755); err != nil {
		return errors.Trace(err)
	}
	tables, err := form.YAML(set.Tables())
	if err != nil {
		return errors.Trace(err)
	}
	network, err := yaml.Marshal(set.Links())
	if err != nil {
		return errors.Trace(err)
	}
	for _, f := range []planFile{
		{name: "tables.yaml", data: tables},
		{name: "links.yaml", data: network},
		{name: "platform", data: lines(set.Platform())},
		{name: "entries", data: lines(set.Entries())},
	} {
		if err := os.WriteFile(filepath.Join(s.folder, f.name), f.data, fileMode); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// planFile is a file of a plan.
type planFile struct {
	name string
	data []byte
}

func lines(processes []sites.Process) []byte {
	b := strings.Builder{}
	for _, p := range processes {
		b.WriteString(p.String())
		b.WriteByte('\n')
	}
	return []byte(b.String())
}

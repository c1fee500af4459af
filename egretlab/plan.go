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
	"egretlane.example/egret/table/codec"
)

// planFileMode is the mode of the plan's files. Anyone may read them, as they hold no secrets.
const planFileMode = 0o644

// setSettings are the flags that describe a set of local processes.
type setSettings struct {
	// deployment is the name of a predefined deployment.
	deployment string

	// folder has the set's files.
	folder string

	// flat turns off the simulated network latencies and execution times of statements.
	flat bool
}

func (s *setSettings) flags() []cli.Flag {
	return []cli.Flag{
		textFlag(&s.deployment, "deployment", "EGRETLAB_DEPLOYMENT", "bregonzi", "`NAME` of the predefined deployment: bregonzi or tapis"),
		textFlag(&s.folder, "dir", "EGRETLAB_DIR", ".run/measure", "`FOLDER` with the set's files"),
		&cli.BoolFlag{
			Name:        "flat",
			Usage:       "do not simulate network latency and statement execution time",
			Sources:     cli.EnvVars("EGRETLAB_FLAT"),
			Destination: &s.flat,
		},
	}
}

// set returns the set that the flags describe.
func (s *setSettings) set() (sites.Set, error) {
	d, err := sites.Find(s.deployment)
	return sites.Set{
		Deployment: d,
		Folder:     s.folder,
		Flat:       s.flat,
	}, errors.Trace(err)
}

// planCommand returns the command that writes the files from which a script starts a set.
func planCommand() *cli.Command {
	s := &setSettings{}
	return &cli.Command{
		Name:  "plan",
		Usage: "write the configuration files and process lists from which a local set of processes is started",
		Flags: s.flags(),
		Action: func(context.Context, *cli.Command) error {
			return s.write()
		},
	}
}

// write writes tables.yaml, links.yaml, and the files platform and entries, which list one process per line.
func (s *setSettings) write() error {
	set, err := s.set()
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.MkdirAll(s.folder, 0o755); err != nil {
		return errors.Trace(err)
	}
	tables, err := codec.YAML(set.Tables())
	if err != nil {
		return errors.Trace(err)
	}
	links, err := yaml.Marshal(set.Links())
	if err != nil {
		return errors.Trace(err)
	}
	for _, f := range []planFile{
		{name: "tables.yaml", data: tables},
		{name: "links.yaml", data: links},
		{name: "platform", data: processLines(set.PlatformProcesses())},
		{name: "entries", data: processLines(set.ProxyProcesses())},
	} {
		if err := os.WriteFile(filepath.Join(s.folder, f.name), f.data, planFileMode); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// planFile is one file of a plan.
type planFile struct {
	name string
	data []byte
}

// processLines returns one line for each process: its name, program, ready address and arguments.
func processLines(processes []sites.Process) []byte {
	b := strings.Builder{}
	for _, p := range processes {
		b.WriteString(p.String())
		b.WriteByte('\n')
	}
	return []byte(b.String())
}

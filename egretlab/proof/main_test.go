package proof

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binDir is the folder that holds the built programs.
var binDir string

// TestMain builds the programs egretlane, egretctl and egretlab once for all tests.
func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "egret-proof-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	binDir = dir
	for _, name := range []string{"egretlane", "egretctl", "egretlab"} {
		if err := buildProgram(name); err != nil {
			return 0, err
		}
	}
	return m.Run(), nil
}

// buildProgram builds a program, with the race detector if the tests were built with it.
func buildProgram(name string) error {
	args := []string{"build", "-o", filepath.Join(binDir, name)}
	if raceEnabled {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, ".")...)
	cmd.Dir = filepath.Join("..", "..", name)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("building %s: %w\n%s", name, err, out)
	}
	return nil
}

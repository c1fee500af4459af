package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"
)

// TestCrashedSetDoesNotStopTheNext checks that the scripts clear the .pid files of a crashed set, so that the next set
// can start, and end no process of another program. The files hold the ID of a process that has ended, an ID that
// another program has now, and a text that is no ID.
func TestCrashedSetDoesNotStopTheNext(t *testing.T) {
	run := t.TempDir()
	foreign := exec.Command("sleep", "60")
	if err := foreign.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- foreign.Wait() }()
	defer foreign.Process.Kill()
	dead := exec.Command("true")
	if err := dead.Run(); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"proxy-1":  strconv.Itoa(dead.Process.Pid),
		"member-1": strconv.Itoa(foreign.Process.Pid),
		"store":    "no number",
	} {
		if err := os.WriteFile(filepath.Join(run, name+".pid"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	script := exec.Command("bash", "-euo", "pipefail", "-c", "source ../scripts/set; clear_stale; stop_all; echo done")
	script.Env = append(os.Environ(), "RUN="+run)
	out, err := script.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	select {
	case <-ended:
		t.Error("the process of another program was ended")
	case <-time.After(100 * time.Millisecond):
	}
	left, err := filepath.Glob(filepath.Join(run, "*.pid"))
	if err != nil || len(left) != 0 {
		t.Errorf(".pid files are left: %v, error %v", left, err)
	}
}

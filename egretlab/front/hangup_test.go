package front

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// TestHangupAtStart guards against processes that a SIGHUP kills while they start. Each waits here for a file that it reads first;
// the text of that file is no valid one, so that it ends by itself afterwards.
func TestHangupAtStart(t *testing.T) {
	for _, c := range []struct {
		name string
		args []string
	}{
		{name: "proxy", args: []string{"egretlane", "--token-key-file"}},
		{name: "fleet", args: []string{"egretlane", "fleet", "--settings"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			path := filepath.Join(dir, "file")
			if err := syscall.Mkfifo(path, 0o600); err != nil {
				t.Fatal(err)
			}
			p := startProcess(t, dir, c.name, append(c.args, path)...)
			var f *os.File
			eventually(t, "the process to read its file", func() error {
				var err error
				// Without a reader, opening fails.
				f, err = os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
				return err
			})
			defer f.Close()
			if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			// The process may be gone.
			_, _ = f.WriteString("x")
			f.Close()
			<-p.ended
			if code := p.cmd.ProcessState.ExitCode(); code != 1 {
				t.Errorf("the process ended with %s, want exit status 1", p.cmd.ProcessState)
			}
		})
	}
}

// TestHangup guards against proxies that a SIGHUP kills, and with them all requests of their callers.
func TestHangup(t *testing.T) {
	s := startSet(t, options{})
	conn := s.connect(0, "")
	s.signal(s.proxies[0].process, syscall.SIGHUP)
	s.awaitLog("signal ignored: settings are read at the start only", 0)
	if _, err := conn.Exec(stepContext(t), "INSERT INTO orders (id, item) VALUES ('after SIGHUP', 'a') /*kind='order'*/"); err != nil {
		t.Error(err)
	}
}

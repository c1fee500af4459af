package proof

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// startTimeout is the time within which a started process must serve.
const startTimeout = 20 * time.Second

// nextPort counts the ports that were tried. They lie below the range of ephemeral ports, so that an outgoing
// connection can't take a port before the process listens on it.
var nextPort atomic.Uint32

// freeAddress returns a loopback address that no process listens on.
func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	for range 1000 {
		port := 12000 + (uint32(os.Getpid())*97+nextPort.Add(1))%19000
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		l.Close()
		return a
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

// process is a program that the test runs.
type process struct {
	t testing.TB

	// name is used in messages of the test and for the log file.
	name string

	// args are the program and its arguments, kept for a restart.
	args []string

	// operator is the operators' port, invalid if there is none.
	operator netip.AddrPort

	// logPath is the file for standard output and standard error.
	logPath string

	cmd *exec.Cmd

	// exited is closed when the process has ended.
	exited chan struct{}
}

// start starts a program. It does not wait until the program serves.
func start(t testing.TB, dir string, name string, operator netip.AddrPort, args ...string) *process {
	t.Helper()
	p := &process{
		t:        t,
		name:     name,
		args:     args,
		operator: operator,
		logPath:  filepath.Join(dir, name+".log"),
	}
	p.spawn()
	t.Cleanup(p.cleanup)
	return p
}

// spawn starts the program and a goroutine that waits for its end.
func (p *process) spawn() {
	p.t.Helper()
	f, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer f.Close()
	p.cmd = exec.Command(filepath.Join(binDir, p.args[0]), p.args[1:]...)
	p.cmd.Stdout = f
	p.cmd.Stderr = f
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(p.cmd, p.exited)
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Errorf("%s: signal %s: %v", p.name, s, err)
	}
}

// pause stops the process until resume.
func (p *process) pause() {
	p.signal(syscall.SIGSTOP)
}

// resume continues a paused process.
func (p *process) resume() {
	p.signal(syscall.SIGCONT)
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// waitExit waits until the process ends by itself. It returns an error after the timeout.
func (p *process) waitExit(timeout time.Duration) error {
	select {
	case <-p.exited:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s still runs after %s", p.name, timeout)
	}
}

// cleanup ends the process. It fails the test if the log reports a data race, and prints the end of the log if the test
// failed.
func (p *process) cleanup() {
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return
	}
	if bytes.Contains(data, []byte("DATA RACE")) {
		p.t.Errorf("%s has a data race:\n%s", p.name, data)
		return
	}
	if p.t.Failed() {
		p.t.Logf("end of the log of %s:\n%s", p.name, data[max(0, len(data)-2000):])
	}
}

// waitReady waits until the process reports on its operators' port that it is ready.
func (p *process) waitReady() {
	p.t.Helper()
	waitUntil(p.t, startTimeout, p.name+" ready", func() error {
		select {
		case <-p.exited:
			return fmt.Errorf("%s has ended", p.name)
		default:
		}
		r, err := http.Get("http://" + p.operator.String() + "/ready")
		if err != nil {
			return err
		}
		r.Body.Close()
		if r.StatusCode != http.StatusOK {
			return fmt.Errorf("%s answers %s", p.name, r.Status)
		}
		return nil
	})
}

// waitListen waits until a process listens on the address.
func waitListen(t testing.TB, a netip.AddrPort) {
	t.Helper()
	waitUntil(t, startTimeout, "listener on "+a.String(), func() error {
		c, err := net.Dial("tcp", a.String())
		if err != nil {
			return err
		}
		return c.Close()
	})
}

// waitUntil calls check until it returns nil, and returns how long that took. It fails the test after the timeout.
func waitUntil(t testing.TB, timeout time.Duration, what string, check func() error) time.Duration {
	t.Helper()
	began := time.Now()
	for {
		err := check()
		if err == nil {
			return time.Since(began)
		}
		if time.Since(began) > timeout {
			t.Fatalf("waited %s for %s: %v", timeout, what, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

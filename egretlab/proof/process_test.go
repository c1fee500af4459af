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

// startWait bounds the wait for a process to serve.
const startWait = 20 * time.Second

// nextPort is below the range that the system gives out for outgoing connections.
var nextPort atomic.Uint32

// freeAddress returns a loopback address that nobody listens on.
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

// process is a running program of the system.
type process struct {
	t testing.TB

	// name names the process in the test and its log.
	name string

	// args are the program and its arguments, kept for a restart.
	args []string

	// operator is the operators' port, invalid if there is none.
	operator netip.AddrPort

	// log is the file that both outputs go to.
	log string

	cmd *exec.Cmd

	// ended is closed when the process is gone.
	ended chan struct{}
}

// start runs a program and returns before it serves.
func start(t testing.TB, dir string, name string, operator netip.AddrPort, args ...string) *process {
	t.Helper()
	p := &process{
		t:        t,
		name:     name,
		args:     args,
		operator: operator,
		log:      filepath.Join(dir, name+".log"),
	}
	p.run()
	t.Cleanup(p.cleanup)
	return p
}

func (p *process) run() {
	p.t.Helper()
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer f.Close()
	p.cmd = exec.Command(filepath.Join(programs, p.args[0]), p.args[1:]...)
	p.cmd.Stdout = f
	p.cmd.Stderr = f
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(p.cmd, p.ended)
}

// signal sends a signal to this process only.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Errorf("%s: signal %s: %v", p.name, s, err)
	}
}

// freeze stops the process until thaw.
func (p *process) freeze() {
	p.signal(syscall.SIGSTOP)
}

func (p *process) thaw() {
	p.signal(syscall.SIGCONT)
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// waitEnd waits until the process is gone of its own.
func (p *process) waitEnd(limit time.Duration) error {
	select {
	case <-p.ended:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("%s still runs after %s", p.name, limit)
	}
}

// cleanup ends the process and shows the end of its log if the test failed.
func (p *process) cleanup() {
	select {
	case <-p.ended:
	default:
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	data, err := os.ReadFile(p.log)
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

// waitReady waits until the process says that it is ready.
func (p *process) waitReady() {
	p.t.Helper()
	until(p.t, startWait, p.name+" ready", func() error {
		select {
		case <-p.ended:
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

// waitListen waits until somebody listens on the address.
func waitListen(t testing.TB, a netip.AddrPort) {
	t.Helper()
	until(t, startWait, "listener on "+a.String(), func() error {
		c, err := net.Dial("tcp", a.String())
		if err != nil {
			return err
		}
		return c.Close()
	})
}

// until calls check until it returns nil, and fails the test after limit.
func until(t testing.TB, limit time.Duration, what string, check func() error) time.Duration {
	t.Helper()
	began := time.Now()
	for {
		err := check()
		if err == nil {
			return time.Since(began)
		}
		if time.Since(began) > limit {
			t.Fatalf("waited %s for %s: %v", limit, what, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

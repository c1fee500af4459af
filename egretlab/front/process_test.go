package front

import (
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"
)

// nextPort counts the ports that were given out.
var nextPort atomic.Uint32

// freeAddress returns a loopback address that nobody listens on, below the range that the system gives
// out for outgoing connections.
func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	for range 1000 {
		port := 10100 + (uint32(os.Getpid())*61+nextPort.Add(1))%1800
		l, err := net.Listen("tcp", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port)).String())
		if err != nil {
			continue
		}
		l.Close()
		return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

// process is a running program.
type process struct {
	t    testing.TB
	name string
	args []string
	cmd  *exec.Cmd

	// log is the file that both outputs go to.
	log string

	// ended is closed when the process is gone.
	ended chan struct{}
}

// start runs a program until the test ends.
func start(t testing.TB, dir string, name string, args ...string) *process {
	t.Helper()
	p := &process{
		t:     t,
		name:  name,
		args:  args,
		log:   filepath.Join(dir, name+".log"),
		ended: make(chan struct{}),
	}
	f, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	p.cmd = exec.Command(filepath.Join(programs, args[0]), args[1:]...)
	p.cmd.Stdout = f
	p.cmd.Stderr = f
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(p.stop)
	return p
}

// stop ends the process and shows the end of its log if the test failed.
func (p *process) stop() {
	_ = p.cmd.Process.Kill()
	<-p.ended
	if p.t.Failed() {
		log := p.logged()
		p.t.Logf("end of the log of %s:\n%s", p.name, log[max(0, len(log)-1500):])
	}
}

// logged returns what the process has written.
func (p *process) logged() string {
	p.t.Helper()
	data, err := os.ReadFile(p.log)
	if err != nil {
		p.t.Fatal(err)
	}
	return string(data)
}

// until calls check until it returns nil, and fails the test after 20 s.
func until(t testing.TB, what string, check func() error) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("waited too long for %s: %v", what, err)
		}
	}
}

// run runs a program to its end and returns its outputs and its exit status.
func run(t testing.TB, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(programs, args[0]), args[1:]...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

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

// nextPort counts the ports that freeAddress has tried.
var nextPort atomic.Uint32

// freeAddress returns a loopback address on which nothing listens. Its port is below the range that the system uses for
// outgoing connections, so that these can't take it. The process ID spreads the ports of concurrent runs.
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

// process is a program that a test has started.
type process struct {
	t    testing.TB
	name string
	args []string
	cmd  *exec.Cmd

	// logFile is the file that standard output and standard error go to.
	logFile string

	// ended is closed when the process has ended.
	ended chan struct{}
}

// startProcess starts a program, which is killed when the test ends.
func startProcess(t testing.TB, dir string, name string, args ...string) *process {
	t.Helper()
	p := &process{
		t:       t,
		name:    name,
		args:    args,
		logFile: filepath.Join(dir, name+".log"),
		ended:   make(chan struct{}),
	}
	f, err := os.Create(p.logFile)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	p.cmd = exec.Command(filepath.Join(programsDir, args[0]), args[1:]...)
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

// stop kills the process, and logs the end of its output if the test failed.
func (p *process) stop() {
	_ = p.cmd.Process.Kill()
	<-p.ended
	if p.t.Failed() {
		log := p.logText()
		p.t.Logf("end of the log of %s:\n%s", p.name, log[max(0, len(log)-1500):])
	}
}

// logText returns the output of the process so far.
func (p *process) logText() string {
	p.t.Helper()
	data, err := os.ReadFile(p.logFile)
	if err != nil {
		p.t.Fatal(err)
	}
	return string(data)
}

// eventually calls check until it returns nil. It fails the test if that takes more than 20 s.
func eventually(t testing.TB, what string, check func() error) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("waited more than 20 s for %s: %v", what, err)
		}
	}
}

// runProgram runs a program to its end and returns its combined output and its exit status.
func runProgram(t testing.TB, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(programsDir, args[0]), args[1:]...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

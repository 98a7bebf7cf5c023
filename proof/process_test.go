package proof

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// process is a child process of the test.
type process struct {
	t     testing.TB
	name  string
	cmd   *exec.Cmd
	addrs []string // printed after "ready"
	log   *safeBuffer
	done  chan struct{}
}

// safeBuffer collects the log of a child.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// startProcess starts the test binary in a role and waits until it listens.
func startProcess(t testing.TB, name string, r role, input any) *process {
	t.Helper()
	b, err := json.Marshal(input)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, name: name, log: &safeBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), roleVariable+"="+string(r), inputVariable+"="+string(b))
	p.cmd.Stderr = p.log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	ready := make(chan []string, 1)
	go func() {
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
			if rest, ok := strings.CutPrefix(scanner.Text(), "ready "); ok {
				ready <- strings.Fields(rest)
			}
		}
		_ = p.cmd.Wait()
		close(p.done)
	}()
	select {
	case p.addrs = <-ready:
	case <-p.done:
		t.Fatalf("%s ended at its start:\n%s", name, p.log)
	case <-time.After(10 * time.Second):
		t.Fatalf("%s did not listen within 10 s:\n%s", name, p.log)
	}
	return p
}

// url returns the n-th address that the process listens on.
func (p *process) url(n int) string { return "http://" + p.addrs[n] }

// kill ends the process at once, without a drain.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// terminate starts a drain.
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

// freeze stops the process as a paused VM is.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

// thaw lets it go on.
func (p *process) thaw() { p.signal(syscall.SIGCONT) }

// waitEnd waits for the process to end by itself.
func (p *process) waitEnd(wait time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(wait):
		return false
	}
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s) // it may have ended meanwhile
	}
}

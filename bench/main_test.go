package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawbarrow/config"
	"jackdawbarrow/fakes"
	"jackdawbarrow/serve"
)

// The test binary starts itself again as a VM or as an engine. roleVariable
// says as what, inputVariable holds its settings as JSON.
const (
	roleVariable  = "JACKDAWBARROW_BENCH_ROLE"
	inputVariable = "JACKDAWBARROW_BENCH_INPUT"
)

const (
	roleVM       = "vm"
	roleEngine   = "engine"
	roleKeyValue = "keyValue"
)

func TestMain(m *testing.M) {
	if role := os.Getenv(roleVariable); role != "" {
		if err := runRole(role, []byte(os.Getenv(inputVariable))); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runRole prints the addresses listened on and runs until SIGTERM, or until
// the parent has died.
func runRole(role string, input []byte) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go exitWithParent()
	switch role {
	case roleVM:
		return runVM(ctx, input)
	case roleKeyValue:
		return runStandIn(ctx, fakes.NewKeyValue())
	case roleEngine:
		var cfg fakes.EngineConfig
		if err := json.Unmarshal(input, &cfg); err != nil {
			return err
		}
		return runStandIn(ctx, fakes.NewEngine(cfg))
	}
	return fmt.Errorf("unknown role %q", role)
}

func runStandIn(ctx context.Context, h http.Handler) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Printf("ready %s\n", l.Addr())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	_ = srv.Serve(l)
	return nil
}

func exitWithParent() {
	parent := os.Getppid()
	for os.Getppid() == parent {
		time.Sleep(time.Second)
	}
	os.Exit(1)
}

func runVM(ctx context.Context, input []byte) error {
	var s config.Settings
	if err := json.Unmarshal(input, &s); err != nil {
		return err
	}
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	p, err := serve.New(serve.Config{Settings: s, Log: log})
	if err != nil {
		return err
	}
	out := p.Settings()
	fmt.Printf("ready %s %s\n", out.Listen.Callers, out.Listen.Peers)
	profile := os.Getenv(profileVariable)
	if profile != "" {
		stop := startProfile(profile + "." + string(s.VM))
		defer stop()
	}
	<-ctx.Done()
	if profile == "" {
		p.Close()
	}
	return nil
}

// child is a process that the benchmark started.
type child struct {
	cmd   *exec.Cmd
	addrs []string
}

func startChild(b testing.TB, role string, input any) *child {
	b.Helper()
	encoded, err := json.Marshal(input)
	if err != nil {
		b.Fatal(err)
	}
	p := &child{cmd: exec.Command(os.Args[0])}
	p.cmd.Env = append(os.Environ(), roleVariable+"="+role, inputVariable+"="+string(encoded))
	p.cmd.Stderr = os.Stderr
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(p.stop)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		b.Fatalf("a process with role %s ended at its start: %v", role, err)
	}
	p.addrs = strings.Fields(strings.TrimPrefix(line, "ready "))
	return p
}

func (p *child) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	timer := time.AfterFunc(10*time.Second, func() { _ = p.cmd.Process.Kill() })
	defer timer.Stop()
	_ = p.cmd.Wait()
}

// residentMB returns the resident memory of the process that is private to
// it: anonymous pages, without the program file.
func (p *child) residentMB(b testing.TB) float64 {
	return p.status(b, "RssAnon:") / 1024
}

// status returns a field of /proc/<pid>/status in its unit, kB for memory.
func (p *child) status(b testing.TB, field string) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, field); ok {
			n, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			if err != nil {
				b.Fatal(err)
			}
			return n
		}
	}
	b.Fatalf("no field %s", field)
	return 0
}

// processorTime returns the user and system time of the process. The kernel
// counts it in ticks of 10 ms.
func (p *child) processorTime(b testing.TB) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndex(string(text), ")")+1:]))
	ticks := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			b.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * 10 * time.Millisecond
}

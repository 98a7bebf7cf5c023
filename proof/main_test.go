package proof

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawbarrow/config"
	"jackdawbarrow/fakes"
	"jackdawbarrow/serve"
)

// Flags of the tests.
var (
	repeat = flag.Int("repeat", 0, "repetitions of each failure; 0 takes the test's default")
	seed   = flag.Uint64("seed", 1, "seed of random choices")
	soak   = flag.Duration("soak", 0, "duration of TestSoak; 0 skips it")
)

// The test binary starts itself again as a VM or as a stand-in. roleVariable
// says as what, inputVariable holds its settings as JSON.
const (
	roleVariable  = "JACKDAWBARROW_PROOF_ROLE"
	inputVariable = "JACKDAWBARROW_PROOF_INPUT"
)

// role names what a child process runs.
type role string

const (
	roleVM       role = "vm"
	roleKeyValue role = "keyValue"
	roleEngine   role = "engine"
	rolePlain    role = "plain"
	roleRating   role = "rating"
	roleVMList   role = "vmList"
)

func TestMain(m *testing.M) {
	if r := os.Getenv(roleVariable); r != "" {
		if err := runRole(role(r), []byte(os.Getenv(inputVariable))); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runRole prints the addresses listened on and runs until SIGTERM, or until
// the parent has died.
func runRole(r role, input []byte) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go exitWithParent()
	switch r {
	case roleVM:
		return runVM(ctx, input)
	case roleKeyValue:
		return runStandIn(ctx, fakes.NewKeyValue())
	case roleVMList:
		return runStandIn(ctx, fakes.NewVMList(0))
	case roleEngine:
		var cfg fakes.EngineConfig
		if err := json.Unmarshal(input, &cfg); err != nil {
			return err
		}
		return runStandIn(ctx, fakes.NewEngine(cfg))
	case rolePlain:
		var cfg fakes.PlainConfig
		if err := json.Unmarshal(input, &cfg); err != nil {
			return err
		}
		return runStandIn(ctx, fakes.NewPlain(cfg))
	case roleRating:
		var cfg fakes.RatingConfig
		if err := json.Unmarshal(input, &cfg); err != nil {
			return err
		}
		return runStandIn(ctx, fakes.NewRating(cfg))
	}
	return fmt.Errorf("unknown role %q", r)
}

// exitWithParent keeps children of a crashed test from staying behind.
func exitWithParent() {
	parent := os.Getppid()
	for os.Getppid() == parent {
		time.Sleep(time.Second)
	}
	os.Exit(1)
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

func runVM(ctx context.Context, input []byte) error {
	var s config.Settings
	if err := json.Unmarshal(input, &s); err != nil {
		return err
	}
	log := logrus.New()
	log.SetLevel(logrus.WarnLevel)
	p, err := serve.New(serve.Config{Settings: s, Log: log})
	if err != nil {
		return err
	}
	out := p.Settings()
	fmt.Printf("ready %s %s %s\n", out.Listen.Callers, out.Listen.Peers, out.Listen.Admin)
	select {
	case <-ctx.Done():
	case <-p.Draining():
	}
	drain, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	p.Drain(drain)
	return nil
}

package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawbarrow/config"
)

const relaySettings = `vm: vm1
dataCentre: oban
region: west
dataCentres: {oban: west}
listen: {callers: "127.0.0.1:1", directory: "127.0.0.1:2", ready: "127.0.0.1:3"}
store: "http://127.0.0.1:4"
`

// Guards against SIGHUP ending the process, and against settings that are read
// at the start only.
func TestHangupReloads(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(relaySettings + "drainSeconds: 8\n")
	settings, err := config.LoadRelaySettings(file)
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	got := make(chan config.RelaySettings, 1)
	c := relayCommand{Settings: file}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	go func() { got <- c.await(ctx, hangups, settings, log) }()
	for _, text := range []string{relaySettings + "drainSeconds: 3\n", "vm: [broken"} {
		write(text)
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
	}
	stop()
	if s := <-got; s.Drain() != 3*time.Second {
		t.Errorf("the drain takes %v, want the 3 s of the last readable settings", s.Drain())
	}
}

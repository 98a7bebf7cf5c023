package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Bounds of the deployment, as the platform's settings hold them on the small
// deployments.
const (
	graceSeconds = 8
	applyMillis  = 2000
	ttlMaxS      = 5
)

// vm is a process of the relay.
type vm struct {
	name, zone               string
	callers, directory, view string // addresses; view is the readiness probe
	settings                 string
	log                      string
	cmd                      *exec.Cmd
	ended                    chan struct{}
	stoppedAt                time.Time // of SIGTERM
	endedAt, startedAt       time.Time // startedAt is that of a restart
}

// newVM writes the settings of a VM from the template of the deploy file.
func newVM(dir, name, zone, ip string, zones map[string]string, storeAddr string) (*vm, error) {
	template, err := os.ReadFile("deploy/settings.yaml.tmpl")
	if err != nil {
		return nil, err
	}
	addrs := make([]string, 4)
	for i := range addrs {
		if addrs[i], err = freeAddr(ip); err != nil {
			return nil, err
		}
	}
	_, peerPort, err := net.SplitHostPort(addrs[3])
	if err != nil {
		return nil, err
	}
	var list []string
	for z, region := range zones {
		list = append(list, fmt.Sprintf("%q:%q", z, region))
	}
	text := strings.NewReplacer(
		"{{node}}", name, "{{zone}}", zone, "{{region}}", zones[zone], "{{zones|json}}", "{"+strings.Join(list, ",")+"}",
		"{{listen.front}}", addrs[0], "{{listen.directory}}", addrs[1], "{{listen.ready}}", addrs[2], "{{ip}}", ip,
		"{{internalPortRange.0}}", peerPort, "{{platform.address}}", storeAddr, "{{bounds.graceS}}", fmt.Sprint(graceSeconds),
		"{{limits.memoryMb}}", "284", "{{bounds.configApplyMs}}", fmt.Sprint(applyMillis), "{{bounds.exposeShare}}", "0.15",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("the template of the settings has a placeholder that this stand-in doesn't know:\n%s", text)
	}
	v := &vm{
		name: name, zone: zone, callers: addrs[0], directory: addrs[1], view: addrs[2],
		settings: filepath.Join(dir, name+".yaml"), log: filepath.Join(dir, name+".log"),
	}
	return v, os.WriteFile(v.settings, []byte(text), 0o600)
}

// freeAddr returns an address with a port that is free now.
func freeAddr(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	v.cmd = exec.Command("target/jackdawbarrow", "relay", "--max-fds=4100")
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "JACKDAWBARROW_NODE_FILE=" + v.settings}
	v.cmd.Stdout, v.cmd.Stderr = out, out
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // the caller looks at how it ended
		v.endedAt = time.Now()
		close(ended)
	}(v.cmd, v.ended)
	return nil
}

// stop sends SIGTERM, and SIGKILL after the grace time, as the platform does.
func (v *vm) stop() {
	v.stoppedAt = time.Now()
	_ = v.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-v.ended:
	case <-time.After(graceSeconds * time.Second):
		_ = v.cmd.Process.Kill()
		<-v.ended
	}
}

// awaitReady waits until the readiness probe answers 200.
func (v *vm) awaitReady(limit time.Duration) error {
	probe := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for began := time.Now(); time.Since(began) < limit; time.Sleep(100 * time.Millisecond) {
		resp, err := probe.Get("http://" + v.view + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %s", v.name, limit)
}

// warmUp is the time from the start of the relays to the first client.
const warmUp = 6 * time.Second

// awaitAll waits until all relays are ready and have learned of each other.
func awaitAll(vms []*vm) error {
	began := time.Now()
	for _, v := range vms {
		if err := v.awaitReady(warmUp); err != nil {
			return err
		}
	}
	time.Sleep(warmUp - min(time.Since(began), warmUp))
	return nil
}

// kill ends the process at the end of the case.
func (v *vm) kill() {
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	select {
	case <-v.ended:
	default:
		_ = v.cmd.Process.Kill()
		<-v.ended
	}
}

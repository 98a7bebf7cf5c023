package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// program and template are those of the deploy file.
	program  = "target/jackdawbarrow"
	role     = "relay"
	template = "deploy/settings.yaml.tmpl"
	region   = "west"
	host     = "review.example"
	apiKey   = "key-of-the-review"

	// Bounds of the small deployments.
	graceS       = 8
	drainTime    = 2 * time.Second
	stableWindow = 3 * time.Second
	recoverTime  = 12 * time.Second
	memoryMB     = 284
	maxFds       = 4100
)

// zones are the zones of a deployment.
var zones = []string{"oban", "largs", "stranraer"}

// deployment is one deployment of the system with its surroundings.
type deployment struct {
	rec      *record
	dir      string
	net      int // second and third octet of its loopback addresses
	store    *store
	storeSrv *http.Server
	storeAt  string
	runs     *runLog

	mu       sync.Mutex
	machines []*machine
	runners  []*runner
}

func newDeployment(rec *record) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, net: os.Getpid(), store: newStore(rec), runs: &runLog{}}
	l, err := net.Listen("tcp", net.JoinHostPort(d.ip(0), "0"))
	if err != nil {
		return nil, err
	}
	d.storeAt = l.Addr().String()
	d.storeSrv = &http.Server{Handler: d.store}
	go func() { _ = d.storeSrv.Serve(l) }() // ends with the deployment
	return d, nil
}

// ip returns a loopback address: 0 is that of the store and the runners, the others
// are those of the machines.
func (d *deployment) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+d.net%200, 10+d.net/200%200, 10+n)
}

// close ends all processes that were started.
func (d *deployment) close() {
	d.mu.Lock()
	machines, runners := d.machines, d.runners
	d.mu.Unlock()
	for _, m := range machines {
		m.kill()
	}
	for _, u := range runners {
		u.end()
	}
	_ = d.storeSrv.Close()
	_ = os.RemoveAll(d.dir)
}

// route is a route of the configuration.
func route(name, kind, service string, timeout time.Duration, maxAttempts int, isResumable bool) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "prefix": "/" + name + "/", "kind": kind, "service": service, "timeoutMs": timeout.Milliseconds(),
		"targetLatencyMs": timeout.Milliseconds() / 3, "priority": 1, "maxAttempts": maxAttempts, "public": false,
	}
	if kind == "streaming" {
		r["gapAimMs"], r["streamResumption"] = 1500, isResumable
	}
	return r
}

// service is a service of the configuration.
func service(name string, coldPerS float64) map[string]any {
	coldStartS := 0.0
	if coldPerS > 0 {
		coldStartS = 3
	}
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConnections": 620, "protocol": "h1", "tls": false,
		"coldStartS": coldStartS, "coldPerS": coldPerS,
	}
}

// configure writes the first configuration.
func (d *deployment) configure(routes, services []map[string]any) {
	d.store.put("op/config", map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "team", "apiKeys": []string{apiKey}, "priority": 1}},
	})
}

// machine is one machine of the system with its process.
type machine struct {
	d                       *deployment
	name, zone              string
	front, directory, ready string
	settings                string
	poller                  http.Client // of the platform

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// startMachines starts machines in turn over the zones.
func (d *deployment) startMachines(n int) error {
	for i := 1; i <= n; i++ {
		m, err := d.newMachine(i)
		if err != nil {
			return err
		}
		d.mu.Lock()
		d.machines = append(d.machines, m)
		d.mu.Unlock()
		if err := m.start(); err != nil {
			return err
		}
	}
	return d.awaitReady(10 * time.Second)
}

func freeAddr(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

func (d *deployment) newMachine(i int) (*machine, error) {
	m := &machine{d: d, zone: zones[(i-1)%len(zones)]}
	m.name = fmt.Sprintf("front-%s-%d", m.zone, i)
	m.poller = http.Client{Timeout: time.Second}
	ip := d.ip(i)
	var peers string
	for _, addr := range []*string{&m.front, &m.directory, &m.ready, &peers} {
		var err error
		if *addr, err = freeAddr(ip); err != nil {
			return nil, err
		}
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = region
	}
	zoneTable, err := json.Marshal(regions)
	if err != nil {
		return nil, err
	}
	_, port, _ := net.SplitHostPort(peers)
	filled := strings.NewReplacer(
		"{{node}}", m.name, "{{zone}}", m.zone, "{{region}}", region, "{{zones|json}}", string(zoneTable), "{{ip}}", ip,
		"{{listen.front}}", m.front, "{{listen.directory}}", m.directory, "{{listen.ready}}", m.ready,
		"{{internalPortRange.0}}", port, "{{platform.address}}", d.storeAt, "{{bounds.graceS}}", fmt.Sprint(graceS),
		"{{limits.memoryMb}}", fmt.Sprint(memoryMB), "{{bounds.configApplyMs}}", "2000", "{{bounds.exposeShare}}", "0.15",
	).Replace(string(text))
	if strings.Contains(filled, "{{") {
		return nil, fmt.Errorf("a placeholder of %s is not known", template)
	}
	m.settings = filepath.Join(d.dir, m.name+".yaml")
	return m, os.WriteFile(m.settings, []byte(filled), 0o600)
}

// start starts the process.
func (m *machine) start() error {
	out, err := os.OpenFile(filepath.Join(m.d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program, role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JACKDAWBARROW_NODE_FILE=" + m.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	limit := unix.Rlimit{Cur: maxFds, Max: maxFds}
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		_ = cmd.Process.Kill()
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended = cmd, ended
	m.mu.Unlock()
	m.d.rec.add("%s starts", m.name)
	go func() {
		err := cmd.Wait()
		m.d.rec.add("%s has ended: %v", m.name, err)
		close(ended)
	}()
	return nil
}

// kill ends the process at once.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, ended := m.cmd, m.ended
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended
	<-ended
}

// killAll kills all processes, and starts them again after a time.
func (d *deployment) killAll(down time.Duration) error {
	d.rec.add("all machines are killed")
	for _, m := range d.machines {
		m.mu.Lock()
		_ = m.cmd.Process.Kill() // it may have ended
		m.mu.Unlock()
	}
	for _, m := range d.machines {
		m.kill()
	}
	time.Sleep(down)
	for _, m := range d.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	d.rec.add("all machines are back")
	return nil
}

// isReady asks the machine as the platform does.
func (m *machine) isReady() bool {
	resp, err := m.poller.Get("http://" + m.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *deployment) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		n := 0
		for _, m := range d.machines {
			if m.isReady() {
				n++
			}
		}
		if n == len(d.machines) {
			return nil
		}
		if time.Now().After(end) {
			for _, m := range d.machines {
				d.rec.add("output of %s:\n%s", m.name, m.output())
			}
			return fmt.Errorf("%d of %d machines were ready after %s", n, len(d.machines), limit)
		}
	}
}

// descriptors returns the number of open descriptors of the process, or 0.
func (m *machine) descriptors() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.cmd.Process.Pid))
	if err != nil {
		return 0 // the process has ended
	}
	return len(list)
}

// output returns the last lines that the process wrote.
func (m *machine) output() string {
	const most = 2000
	b, err := os.ReadFile(filepath.Join(m.d.dir, m.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-most):])
}

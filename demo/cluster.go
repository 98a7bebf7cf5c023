package demo

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/peers"
	"jackdawbarrow/serve"
)

// Cluster is the entry VMs of a deployment in this process.
type Cluster struct {
	VMs      []*serve.Process
	standIns *StandIns
}

// StartVMs starts the entry VMs and puts them into the VM list.
func StartVMs(s *StandIns, log *logrus.Logger) (*Cluster, error) {
	c := &Cluster{standIns: s}
	for i := 0; i < s.Shape.VMs; i++ {
		p, err := serve.New(serve.Config{Settings: s.Settings(i), Log: log})
		if err != nil {
			c.Close()
			return nil, errors.Wrapf(err, "start VM %d", i+1)
		}
		c.VMs = append(c.VMs, p)
		s.VMList.SetVM(ListedVM(p.Settings()))
	}
	return c, nil
}

// Settings returns the settings of the VM with this index; its ports are
// chosen by the system.
func (s *StandIns) Settings(i int) config.Settings {
	vm := jdaw.VMID(fmt.Sprintf("entry%d", i+1))
	record := ""
	if s.RecordDir != "" {
		record = filepath.Join(s.RecordDir, string(vm)+".jsonl")
	}
	return config.Settings{
		Record:     record,
		VM:         vm,
		DataCentre: s.Shape.DataCentreOf(i),
		Region:     s.Shape.Region,
		Listen:     config.Addresses{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"},
		Store:      config.StoreSettings{Addresses: []string{s.KeyValueAddr}},
		VMList:     s.VMListAddr,
		Ratings:    s.RatingAddr,
	}
}

// ListedVM is the row of a VM in the platform's list.
func ListedVM(s config.Settings) peers.ListedVM {
	return peers.ListedVM{
		VM: s.VM, DataCentre: s.DataCentre, Region: s.Region,
		PeerAddr: s.Advertise.Peers, EntryAddr: s.Advertise.Callers,
	}
}

// EntryAddrs returns the addresses for callers.
func (c *Cluster) EntryAddrs() []string {
	var out []string
	for _, p := range c.VMs {
		out = append(out, p.Settings().Advertise.Callers)
	}
	return out
}

// AdminAddr returns the address of the first VM's administration API.
func (c *Cluster) AdminAddr() string { return "http://" + c.VMs[0].Settings().Listen.Admin }

// AwaitReady waits until all VMs answer that they are ready.
func (c *Cluster) AwaitReady(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for _, addr := range c.EntryAddrs() {
		for !isReady(ctx, addr) {
			select {
			case <-ctx.Done():
				return errors.Newf("the VM at %s was not ready within %s", addr, wait)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, addr string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, addr+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Drain shuts all VMs down gracefully.
func (c *Cluster) Drain() {
	var wg conc.WaitGroup
	for _, p := range c.VMs {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			p.Drain(ctx)
		})
	}
	wg.Wait()
	c.VMs = nil
}

// Close ends all VMs without waiting for their requests.
func (c *Cluster) Close() {
	for _, p := range c.VMs {
		p.Close()
	}
}

package bench

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"jackdawbarrow/peers"
)

// BenchmarkCapacityMachineList measures one reading of the VM list, with 1.5
// upstreams per VM: decoding and merging.
func BenchmarkCapacityMachineList(b *testing.B) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprintf("read/vms=%d", n), func(b *testing.B) {
			list := peers.List{Version: 7}
			for i := range n {
				m := member(i)
				list.VMs = append(list.VMs, peers.ListedVM{VM: m.VM, DataCentre: m.DataCentre, Region: m.Region, PeerAddr: m.PeerAddr, EntryAddr: m.EntryAddr})
			}
			for i := range n * 3 / 2 {
				list.Upstreams = append(list.Upstreams, peers.ListedUpstream{Address: noAddress(i)})
			}
			encoded, err := json.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			m, at := memberTable(n), epoch
			for b.Loop() {
				var read peers.List
				if err := json.Unmarshal(encoded, &read); err != nil {
					b.Fatal(err)
				}
				at = at.Add(time.Second)
				m.Handle(at, peers.ListRead{OK: true, List: read})
			}
			b.ReportMetric(float64(len(encoded)), "list-B")
		})
	}
}

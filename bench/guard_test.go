package bench

import (
	"fmt"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/guard"
)

// BenchmarkCapacityMachineGuard measures one report of outcome counts at the
// evaluator of a roll-out, by the number of pools that report.
func BenchmarkCapacityMachineGuard(b *testing.B) {
	for _, pools := range []int{5, 30, 100, 600} {
		b.Run(fmt.Sprintf("counts/pools=%d", pools), func(b *testing.B) {
			doc := largeDocument(largeUpstreams, 50, noAddress)
			snap := config.NewSnapshot(doc, nil)
			version := jdaw.ModelVersion{Model: modelName(0), Version: "v2"}
			view := largeView("", largeVMs)
			judge, ok := guard.Evaluator(view, snap, dataCentres[0].Region, version)
			if !ok {
				b.Fatal("no judge")
			}
			view.Self = judge.VM
			m, at := guard.NewMachine(guard.MachineConfig{}), epoch
			m.Handle(at, config.Adopted{Snapshot: snap})
			m.Handle(at, jdaw.ViewChanged{View: view})
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				at = at.Add(time.Millisecond)
				round := uint64(i / pools)
				v := version
				if i%2 == 0 {
					v.Version = "v1"
				}
				m.Handle(at, guard.Counts{
					Version: v, Pool: jdaw.PoolID{Kind: kindName(i % pools), DataCentre: dataCentres[0].Name},
					OwnerIncarnation: incarnationOf(i % pools), OK: round, Rated: round, RatingSum: 0.9 * float64(round), RatingSquareSum: 0.82 * float64(round),
				})
			}
		})
	}
}

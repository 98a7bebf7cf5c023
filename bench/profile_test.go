package bench

import (
	"os"
	"runtime"
	"runtime/pprof"
)

// profileVariable names the prefix of files into which VM processes write
// their processor and heap profiles; empty for none.
const profileVariable = "JACKDAWBARROW_BENCH_PROFILE"

// startProfile returns the function that writes the profiles.
func startProfile(prefix string) func() {
	cpu, err := os.Create(prefix + ".cpu")
	if err != nil {
		panic(err)
	}
	if err := pprof.StartCPUProfile(cpu); err != nil {
		panic(err)
	}
	return func() {
		pprof.StopCPUProfile()
		_ = cpu.Close()
		runtime.GC()
		heap, err := os.Create(prefix + ".heap")
		if err != nil {
			panic(err)
		}
		_ = pprof.WriteHeapProfile(heap)
		_ = heap.Close()
	}
}

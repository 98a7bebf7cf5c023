package route_test

import (
	"math/rand/v2"
	"testing"

	"jackdawbarrow/route"
)

// Guards against choosing an upstream that is out of service or full, against
// choosing none although one is free, and against choices that can't be replayed.
func TestChoosersTakeOnlyFreeCandidates(t *testing.T) {
	for _, name := range route.Names() {
		t.Run(string(name), func(t *testing.T) {
			for seed := range uint64(20) {
				a, err := route.New(name, seed)
				if err != nil {
					t.Fatal(err)
				}
				b, _ := route.New(name, seed)
				rng := rand.New(rand.NewPCG(seed, 1))
				for range 500 {
					checkChoice(t, rng, a, b)
				}
			}
		})
	}
}

func checkChoice(t *testing.T, rng *rand.Rand, a, b route.Chooser) {
	candidates := make([]route.Candidate, rng.IntN(6))
	free := 0
	for i := range candidates {
		candidates[i] = route.Candidate{
			Hash: rng.Uint64(), InUse: rng.IntN(4), Limit: 1 + rng.IntN(4),
			Usable: rng.IntN(3) > 0, Cached: float64(rng.IntN(3)) / 2,
		}
		if candidates[i].IsFree() {
			free++
		}
	}
	prefix := rng.Uint64()
	got, again := a.Choose(prefix, candidates), b.Choose(prefix, candidates)
	if got != again {
		t.Fatalf("two choosers with the same seed chose %d and %d of %+v", got, again, candidates)
	}
	if (got >= 0) != (free > 0) || got >= 0 && !candidates[got].IsFree() {
		t.Fatalf("chose %d of %+v", got, candidates)
	}
}

// Guards against a popular prefix that fills one upstream while others are idle.
func TestCachedPrefixIsBoundedByLoad(t *testing.T) {
	cases := map[string]struct {
		inUse []int // of 8 slots each; the first upstream has cached the prefix
		want  int
	}{
		"slightly above the mean": {[]int{4, 4, 4, 3}, 0},
		"1.25 times the mean":     {[]int{4, 4, 4, 4}, 0},
		"above the bound":         {[]int{7, 4, 4, 3}, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var candidates []route.Candidate
			for i, n := range c.inUse {
				candidates = append(candidates, route.Candidate{Hash: uint64(i), InUse: n, Limit: 8, Usable: true})
			}
			candidates[0].Cached = 1
			if got := route.NewAffinity().Choose(1, candidates); got != c.want {
				t.Errorf("chose %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against prompts that leave the affinity upstream of their prefix for
// slightly less work, and against prompts that queue there behind much work.
func TestLeastWork(t *testing.T) {
	candidates := func(work ...float64) []route.Candidate {
		var list []route.Candidate
		for i, w := range work {
			list = append(list, route.Candidate{Hash: uint64(i + 1), Limit: 8, Usable: true, Work: w})
		}
		return list
	}
	const prefix = 5
	affinity := route.TopRanked(prefix, candidates(0, 0, 0))
	cases := map[string]struct {
		prefix       uint64
		affinityWork float64
		stays        bool
	}{
		"idle":                   {prefix, 0, true},
		"little work":            {prefix, 200, true},
		"much work":              {prefix, 20_000, false},
		"little work, no prefix": {0, 200, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			list := candidates(0, 0, 0)
			list[affinity].Work = c.affinityWork
			if got := route.NewLeastWork().Choose(c.prefix, list); (got == affinity) != c.stays {
				t.Errorf("chose %d, affinity upstream is %d", got, affinity)
			}
		})
	}
	if got := route.TopRanked(prefix, nil); got != -1 {
		t.Errorf("the first of no candidates is %d, want -1", got)
	}
}

package guard

import (
	"jackdawbarrow"
	"jackdawbarrow/config"
)

// Evaluator returns the evaluator of a version: the first by rendezvous hash over
// the members of the region that serve and are not being drained. Each region
// evaluates on its own, because a network partition may separate regions.
func Evaluator(view *jdaw.View, snap *config.Snapshot, region jdaw.Region, version jdaw.ModelVersion) (jdaw.Member, bool) {
	return view.First(version.String(), func(m *jdaw.Member) bool {
		return m.Region == region && m.IsServing() && !snap.IsDraining(m.VM)
	})
}

// Canary is a version in roll-out with the version that it is compared to. Pool
// owners report the counts of both to the evaluator of Version.
type Canary struct {
	Rollout config.Rollout
	Version jdaw.ModelVersion
	Stable  jdaw.ModelVersion
}

// Canaries returns the roll-outs of a configuration in its order. The stable
// version is the model's first active one; it may be missing.
func Canaries(snap *config.Snapshot) []Canary {
	var out []Canary
	for _, r := range snap.Doc.Rollouts {
		w := Canary{Rollout: r, Version: jdaw.ModelVersion{Model: r.Model, Version: r.Version}}
		m, _ := snap.Model(r.Model)
		for _, v := range m.Versions {
			if v.State == config.VersionActive && v.Name != r.Version {
				w.Stable = jdaw.ModelVersion{Model: r.Model, Version: v.Name}
				break
			}
		}
		out = append(out, w)
	}
	return out
}

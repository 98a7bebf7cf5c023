package bench

import (
	"fmt"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// The size expected in two years, as docs/design.md section 3 states it.
const (
	largeVMs        = 400
	largeUpstreams  = 600
	largeWorkspaces = 500
	kinds           = 6
)

var dataCentres = []config.DataCentre{
	{Name: "oban", Region: "scot-west"},
	{Name: "largs", Region: "scot-west"},
	{Name: "stranraer", Region: "scot-west"},
	{Name: "aguada", Region: "plata-sur"},
	{Name: "malvin", Region: "plata-sur"},
}

func vmID(i int) jdaw.VMID { return jdaw.VMID(fmt.Sprintf("entry%d", i+1)) }

// largeDocument has six models of two versions, one of them in roll-out, and
// a pool of each model in each data centre.
func largeDocument(upstreams, workspaces int, address func(i int) string) config.Document {
	doc := config.Document{Revision: 1, DataCentres: dataCentres}
	for k := range kinds {
		doc.Models = append(doc.Models, config.Model{
			Name: modelName(k), Kind: kindName(k), CostPer1000: 0.2 * float64(k+1),
			Versions: []config.Version{{Name: "v1", State: config.VersionActive}, {Name: "v2", State: config.VersionRollout}},
		})
	}
	doc.Rollouts = []config.Rollout{{Model: modelName(0), Version: "v2", SharePercent: 5, State: config.RolloutRunning}}
	doc.Cascades = []config.Cascade{{Name: "standard", Models: []string{modelName(0), modelName(5)}, QualityTarget: 0.7}}
	for i := range upstreams {
		m := modelName(i % kinds)
		doc.Upstreams = append(doc.Upstreams, config.Upstream{
			ID: jdaw.UpstreamID(fmt.Sprintf("engine-%d", i+1)), Kind: kindName(i % kinds), Protocol: config.ProtocolEngine,
			DataCentre: dataCentres[i/kinds%len(dataCentres)].Name, Address: address(i), Versions: []string{m + "@v1", m + "@v2"},
			MaxConcurrent: 256, ColdConcurrent: 256,
		})
	}
	for i := range workspaces {
		_, hash := config.NewSecret("jw", fmt.Sprintf("w%d", i))
		doc.Workspaces = append(doc.Workspaces, config.Workspace{
			ID: workspaceID(i), Keys: []config.SecretHash{hash}, Allow: allModels(),
			Weight: 1, Cascade: "standard",
			Outlets: []config.Outlet{
				{Name: "counter", WaitMillis: 10_000, Priority: jdaw.PriorityInteractive},
				{Name: "office", Opens: "08:30", Closes: "17:00", WaitMillis: 60_000},
			},
		})
	}
	doc.SessionKeys = []config.SessionKey{{ID: "k1", Secret: config.RandomHex(32)}}
	for i := range 64 {
		doc.Changes = append(doc.Changes, config.ChangeRecord{
			ID: config.RandomHex(8), Operator: "ann", Revision: jdaw.Revision(i), Objects: []string{"rollout/" + modelName(0)}, At: time.Now(),
		})
	}
	return doc
}

func kindName(k int) string              { return fmt.Sprintf("kind-%d", k) }
func modelName(k int) string             { return fmt.Sprintf("model-%d", k) }
func workspaceID(i int) jdaw.WorkspaceID { return jdaw.WorkspaceID(fmt.Sprintf("workspace-%d", i)) }

func noAddress(i int) string               { return fmt.Sprintf("http://10.2.%d.%d:8000", i/250, i%250) }
func dataCentreOf(i int) config.DataCentre { return dataCentres[i%len(dataCentres)] }
func versionOf(k int) jdaw.ModelVersion    { return jdaw.ModelVersion{Model: modelName(k), Version: "v1"} }
func incarnationOf(i int) jdaw.Incarnation { return jdaw.Incarnation(fmt.Sprintf("%016x", i+1)) }

// member is a row of the member table.
func member(i int) jdaw.Member {
	dc := dataCentreOf(i)
	return jdaw.Member{
		VM: vmID(i), Incarnation: incarnationOf(i), DataCentre: dc.Name, Region: dc.Region,
		PeerAddr: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250), EntryAddr: fmt.Sprintf("http://10.1.%d.%d:8080", i/250, i%250),
		State: jdaw.MemberAlive, Revision: 1,
	}
}

// largeView is a table of n live members, all of them listed.
func largeView(self jdaw.VMID, n int) *jdaw.View {
	v := &jdaw.View{Self: self, ListedByDataCentre: map[jdaw.DataCentre]int{}, ListedByRegion: map[jdaw.Region]int{}}
	for i := range n {
		m := member(i)
		v.Members = append(v.Members, m)
		v.ListedByDataCentre[m.DataCentre]++
		v.ListedByRegion[m.Region]++
	}
	return v
}

func allModels() []string {
	var names []string
	for k := range kinds {
		names = append(names, modelName(k))
	}
	return names
}

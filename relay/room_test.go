package relay

import (
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/fleet"
	queues "jackdawbarrow/queue"
)

// Guards against places at upstreams that take no requests, against a room that
// ignores the requests of other VMs, and against none while all upstreams are ejected.
func TestRoomOfService(t *testing.T) {
	running := jdaw.Backlog{}
	for _, id := range []jdaw.UpstreamID{"u0", "u1", "u2"} {
		running[id.Key()] = jdaw.UpstreamLoad{Running: 5}
	}
	cases := map[string]struct {
		backlogs Backlogs
		change   func(st *fleet.State, p *picker)
		want     queues.Room
	}{
		"all usable":        {backlogs{others: running}, nil, queues.Room{Slots: 24, Others: 15}},
		"no reports":        {backlogs{}, nil, queues.Room{Slots: 24}},
		"no exchange":       {nil, nil, queues.Room{Slots: 24}},
		"one is an outlier": {backlogs{others: running, outliers: map[jdaw.UpstreamKey]bool{jdaw.UpstreamID("u0").Key(): true}}, nil, queues.Room{Slots: 16, Others: 10}},
		"one leaves": {backlogs{others: running}, func(st *fleet.State, _ *picker) {
			st.Upstreams["drafts"][1].Leaving = true
		}, queues.Room{Slots: 16, Others: 10}},
		"one wants a pause": {backlogs{others: running}, func(st *fleet.State, p *picker) {
			p.stateOf(&st.Upstreams["drafts"][1]).notices.pausedUntil = now.Add(time.Second)
		}, queues.Room{Slots: 16, Others: 10}},
		"another version, without a roll-out": {backlogs{others: running}, func(st *fleet.State, _ *picker) {
			st.Upstreams["drafts"][2].Version = "v2"
		}, queues.Room{Slots: 16, Others: 10}},
		"another version, in a roll-out": {backlogs{others: running}, func(st *fleet.State, _ *picker) {
			st.Upstreams["drafts"][2].Version = "v2"
			st.Rollouts["drafts"] = fleet.Rollout{Service: "drafts", Version: "v2"}
		}, queues.Room{Slots: 24, Others: 15}},
		"all are ejected": {backlogs{others: running}, func(st *fleet.State, p *picker) {
			for i := range st.Upstreams["drafts"] {
				p.stateOf(&st.Upstreams["drafts"][i]).ejectedUntil = now.Add(time.Second)
			}
		}, queues.Room{Slots: 24, Others: 15}},
		"the data centre is out": {backlogs{others: running}, func(st *fleet.State, _ *picker) {
			st.Out["oban"] = true
		}, queues.Room{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			st, p := testState(3, 1), newPicker("vm0", c.backlogs)
			if c.change != nil {
				c.change(st, p)
			}
			if got := p.room(now, st, "drafts"); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

package entry

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// Weights in the entry list. A suspect VM stays listed, as only the network path
// from this VM to it may have failed.
const (
	weightAlive   = 100
	weightSuspect = 10
)

type entryList struct {
	KeepSeconds int             `json:"keepSeconds"`
	Entries     []entryListItem `json:"entries"`
}

type entryListItem struct {
	VM         jdaw.VMID       `json:"vm"`
	Address    string          `json:"address"`
	DataCentre jdaw.DataCentre `json:"dataCentre"`
	Region     jdaw.Region     `json:"region"`
	Weight     int             `json:"weight"`
}

// entries requires no key, since callers fetch the list before they send a
// request. It is served in every state, since a VM that rejects requests can
// still list others.
func (e *Entry) entries(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	list := entryList{KeepSeconds: int(e.cfg.ListTTL.Seconds()), Entries: []entryListItem{}}
	view := e.cfg.Views.View()
	snap := e.cfg.Config.Snapshot()
	if view == nil {
		view = &jdaw.View{}
	}
	for _, m := range view.Serving() {
		if m.EntryAddr == "" || snap != nil && (snap.IsOut(m.DataCentre) || snap.IsDraining(m.VM)) {
			continue
		}
		if m.VM == e.cfg.VM && !e.isListed(view, snap) {
			continue
		}
		weight := weightAlive
		if m.State == jdaw.MemberSuspect {
			weight = weightSuspect
		}
		list.Entries = append(list.Entries, entryListItem{
			VM: m.VM, Address: m.EntryAddr, DataCentre: m.DataCentre, Region: m.Region, Weight: weight,
		})
	}
	writeBody(w, http.StatusOK, "application/json", mustJSON(list))
}

// isListed reports whether this VM includes itself in the list.
func (e *Entry) isListed(view *jdaw.View, snap *config.Snapshot) bool {
	return drainState(e.state.Load()) == serving && !view.Isolated && snap != nil
}

type modelList struct {
	Object string          `json:"object"`
	Data   []modelListItem `json:"data"`
}

type modelListItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models, versions and cascades that the workspace may use.
func (e *Entry) models(w http.ResponseWriter, hr *http.Request, _ httprouter.Params, snap *config.Snapshot) {
	r := &request{e: e, w: w, http: hr, snap: snap}
	if err := r.authenticate(); err != nil {
		e.refuse(w, hr, "", "", err)
		return
	}
	list := modelList{Object: "list", Data: []modelListItem{}}
	add := func(id string) {
		list.Data = append(list.Data, modelListItem{ID: id, Object: "model", OwnedBy: string(r.workspace)})
	}
	for _, m := range snap.Doc.Models {
		if _, err := r.versions(snap, choice{}, m.Name); err == nil {
			add(m.Name)
		}
		for _, v := range m.Versions {
			mv := jdaw.ModelVersion{Model: m.Name, Version: v.Name}
			if snap.IsAllowed(r.workspace, mv) {
				add(mv.String())
			}
		}
	}
	for _, cascade := range snap.Doc.Cascades {
		if _, err := r.cascadeModels(snap, choice{cascade: &cascade}); err == nil {
			add(cascade.Name)
		}
	}
	if ws, _ := snap.Workspace(r.workspace); ws.Cascade != "" {
		add(cascadeModel)
	}
	writeBody(w, http.StatusOK, "application/json", mustJSON(list))
}

// issueKey returns a new idempotency key issued by this VM.
func (e *Entry) issueKey(w http.ResponseWriter, hr *http.Request, _ httprouter.Params, snap *config.Snapshot) {
	r := &request{e: e, w: w, http: hr, snap: snap}
	if err := r.authenticate(); err != nil {
		e.refuse(w, hr, "", "", err)
		return
	}
	if e.cfg.IssueKey == nil {
		e.refuse(w, hr, "", r.workspace, jdaw.Fail(jdaw.CodeNoRoute, "this VM issues no keys"))
		return
	}
	key, err := e.cfg.IssueKey(r.workspace)
	if err != nil {
		e.refuse(w, hr, "", r.workspace, err)
		return
	}
	writeBody(w, http.StatusOK, "application/json", mustJSON(map[string]string{"key": key}))
}

package events

import (
	_ "embed"
	"html/template"
	"io"
	"slices"
	"time"

	"jackdawbarrow"
)

//go:embed timeline.html
var pageSource string

var page = template.Must(template.New("timeline").Parse(pageSource))

type pageRow struct {
	jdaw.TimelineEvent
	At     string
	Offset string
	Column int // grid column of the VM
	Kind   string
	Search string // text that the filter matches
}

type pageData struct {
	VMs     []jdaw.VMID
	Rows    []pageRow
	Missing []jdaw.VMID
	From    string
	Until   string
}

// WriteHTML writes a self-contained page with one column per VM. missing names
// VMs whose ring buffers could not be read.
func WriteHTML(w io.Writer, list []jdaw.TimelineEvent, missing []jdaw.VMID) error {
	data := pageData{Missing: missing, VMs: vmsOf(list)}
	columns := map[jdaw.VMID]int{}
	for i, vm := range data.VMs {
		columns[vm] = i + 2 // the first column holds the time
	}
	for _, e := range list {
		data.Rows = append(data.Rows, newPageRow(e, list[0].Wall, columns[e.VM]))
	}
	if len(list) > 0 {
		data.From = time.Unix(0, list[0].Wall).UTC().Format(time.RFC3339)
		data.Until = time.Unix(0, list[len(list)-1].Wall).UTC().Format(time.RFC3339)
	}
	return page.Execute(w, data)
}

func vmsOf(list []jdaw.TimelineEvent) []jdaw.VMID {
	seen := map[jdaw.VMID]bool{}
	var vms []jdaw.VMID
	for _, e := range list {
		if !seen[e.VM] {
			seen[e.VM] = true
			vms = append(vms, e.VM)
		}
	}
	slices.Sort(vms)
	return vms
}

func newPageRow(e jdaw.TimelineEvent, start int64, column int) pageRow {
	return pageRow{
		TimelineEvent: e,
		At:            time.Unix(0, e.Wall).UTC().Format(timeFormat),
		Offset:        time.Duration(e.Wall - start).Round(10 * time.Microsecond).String(),
		Column:        column,
		Kind:          kindOf(e.Name),
		Search:        string(e.VM) + " " + e.Name + " " + Details(e),
	}
}

// kindOf groups event names for the colours of the page.
func kindOf(name string) string {
	switch name {
	case "refused", "retried", "resumed", "memberDead", "isolated", "sealed", "suspended", "failed":
		return "trouble"
	case "settled", "configAdopted", "memberAlive":
		return "done"
	}
	return "step"
}

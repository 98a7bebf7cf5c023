package events

import (
	_ "embed"
	"html/template"
	"io"
	"time"

	"jackdawbarrow"
)

//go:embed timeline.html
var pageSource string

var page = template.Must(template.New("timeline").Parse(pageSource))

type pageRow struct {
	At      string
	Offset  string
	VM      jdaw.VMID
	Column  int // grid column of the VM
	Name    string
	Kind    string
	Details string
}

type pageData struct {
	VMs     []jdaw.VMID
	Rows    []pageRow
	Missing []jdaw.VMID
	From    string
	Until   string
}

// WriteHTML writes a self-contained page with one column a VM. missing names
// VMs whose ring buffers could not be read.
func WriteHTML(w io.Writer, list []jdaw.TimelineEvent, missing []jdaw.VMID) error {
	data := pageData{Missing: missing}
	columns := map[jdaw.VMID]int{}
	for _, e := range list {
		if _, ok := columns[e.VM]; !ok {
			data.VMs = append(data.VMs, e.VM)
			columns[e.VM] = len(data.VMs) + 1 // the first column holds the time
		}
		data.Rows = append(data.Rows, newPageRow(e, list[0].Wall, columns[e.VM]))
	}
	if len(list) > 0 {
		data.From = time.Unix(0, list[0].Wall).UTC().Format(time.RFC3339)
		data.Until = time.Unix(0, list[len(list)-1].Wall).UTC().Format(time.RFC3339)
	}
	return page.Execute(w, data)
}

func newPageRow(e jdaw.TimelineEvent, start int64, column int) pageRow {
	return pageRow{
		At:      time.Unix(0, e.Wall).UTC().Format(timeFormat),
		Offset:  time.Duration(e.Wall - start).Round(10 * time.Microsecond).String(),
		VM:      e.VM,
		Column:  column,
		Name:    e.Name,
		Kind:    kindOf(e.Name),
		Details: Details(e),
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

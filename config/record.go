package config

// WithRecord returns a copy at the next revision that lists r as its change.
// The revision of r is set; the oldest records are dropped beyond the bound.
func (d Document) WithRecord(r ChangeRecord) Document {
	d.Revision++
	r.Revision = d.Revision
	changes := append(append([]ChangeRecord(nil), d.Changes...), r)
	if len(changes) > maxChangeRecords {
		changes = changes[len(changes)-maxChangeRecords:]
	}
	d.Changes = changes
	return d
}

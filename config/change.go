package config

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"time"

	"jackdawbarrow"
)

// OpKind names a kind of change.
type OpKind string

// Kinds of changes. Put and remove take any object; the others are the
// everyday orders of operators.
const (
	OpPut             OpKind = "put"
	OpRemove          OpKind = "remove"
	OpDataCentreOut   OpKind = "dataCentreOut"
	OpDataCentreIn    OpKind = "dataCentreIn"
	OpWithdrawVersion OpKind = "withdrawVersion"
	OpStartRollout    OpKind = "startRollout"
	OpStepRollout     OpKind = "stepRollout"
	OpHaltRollout     OpKind = "haltRollout"
	OpFinishRollout   OpKind = "finishRollout"
	OpDrainVM         OpKind = "drainVM"
	OpUndrainVM       OpKind = "undrainVM"
	OpDrainUpstream   OpKind = "drainUpstream"
	OpUndrainUpstream OpKind = "undrainUpstream"
	OpLiftSuspension  OpKind = "liftSuspension"
)

// ObjectKind names a list of the document.
type ObjectKind string

// Kinds of objects.
const (
	ObjectDataCentre ObjectKind = "dataCentre"
	ObjectModel      ObjectKind = "model"
	ObjectRollout    ObjectKind = "rollout"
	ObjectCascade    ObjectKind = "cascade"
	ObjectService    ObjectKind = "service"
	ObjectWorkspace  ObjectKind = "workspace"
	ObjectUpstream   ObjectKind = "upstream"
	ObjectSessionKey ObjectKind = "sessionKey"
	ObjectOperator   ObjectKind = "operator"
	ObjectVM         ObjectKind = "vm"
	ObjectSuspension ObjectKind = "suspension"
)

// Op is one step of a change.
type Op struct {
	Kind   OpKind          `json:"kind"`
	Object ObjectKind      `json:"object,omitempty"` // for put and remove
	Name   string          `json:"name"`             // "model@version" for versions and roll-outs
	Value  json.RawMessage `json:"value,omitempty"`  // for put
	Share  float64         `json:"share,omitempty"`  // percent, for roll-outs
	Reason string          `json:"reason,omitempty"`
}

// Change is a set of steps that is accepted or refused as a whole.
type Change struct {
	ID           string        `json:"id"`
	Operator     string        `json:"operator"`
	BaseRevision jdaw.Revision `json:"baseRevision,omitempty"` // 0: the newest
	Ops          []Op          `json:"ops"`
}

// ObjectNames returns the objects that the change touches, as "kind/name".
func (c Change) ObjectNames() []string {
	var names []string
	for _, op := range c.Ops {
		names = append(names, op.objectName())
	}
	return names
}

func (op Op) objectName() string {
	model := jdaw.ParseModelVersion(op.Name).Model
	switch op.Kind {
	case OpDataCentreOut, OpDataCentreIn:
		return string(ObjectDataCentre) + "/" + op.Name
	case OpWithdrawVersion, OpStartRollout, OpStepRollout, OpHaltRollout, OpFinishRollout:
		return string(ObjectModel) + "/" + model
	case OpDrainVM, OpUndrainVM:
		return string(ObjectVM) + "/" + op.Name
	case OpDrainUpstream, OpUndrainUpstream:
		return string(ObjectUpstream) + "/" + op.Name
	case OpLiftSuspension:
		return string(ObjectSuspension) + "/" + op.Name
	}
	if op.Object == ObjectRollout {
		return string(ObjectModel) + "/" + model
	}
	return string(op.Object) + "/" + op.Name
}

// Apply returns the document with the change made, its revision raised by one
// and the change recorded. The receiver stays as it is. The error is coded:
// CodeUnknownObject or CodeInvalidChange.
func (d Document) Apply(c Change, at time.Time) (Document, error) {
	next, err := d.clone()
	if err != nil {
		return Document{}, err
	}
	if len(c.Ops) == 0 {
		return Document{}, jdaw.Fail(jdaw.CodeInvalidChange, "the change has no steps")
	}
	for _, op := range c.Ops {
		if err := next.applyOp(op, at); err != nil {
			return Document{}, err
		}
	}
	if faults := next.Check(); len(faults) > 0 {
		return Document{}, jdaw.Fail(jdaw.CodeInvalidChange, "%s", faults.Err().Error())
	}
	return next.WithRecord(ChangeRecord{ID: c.ID, Operator: c.Operator, Objects: c.ObjectNames(), At: at.UTC()}), nil
}

func (d Document) clone() (Document, error) {
	b, err := d.Encode()
	if err != nil {
		return Document{}, err
	}
	return DecodeDocument(b)
}

func (d *Document) applyOp(op Op, at time.Time) error {
	switch op.Kind {
	case OpPut:
		return d.put(op)
	case OpRemove:
		return d.remove(op)
	case OpDataCentreOut:
		return d.setDataCentre(op.Name, true)
	case OpDataCentreIn:
		return d.setDataCentre(op.Name, false)
	case OpWithdrawVersion:
		return d.withdraw(op)
	case OpStartRollout, OpStepRollout, OpHaltRollout, OpFinishRollout:
		return d.rollout(op, at)
	case OpDrainVM:
		d.undrain(jdaw.VMID(op.Name))
		d.DrainingVMs = append(d.DrainingVMs, jdaw.VMID(op.Name))
		return nil
	case OpUndrainVM:
		d.undrain(jdaw.VMID(op.Name))
		return nil
	case OpDrainUpstream:
		return d.setLeaving(op.Name, true)
	case OpUndrainUpstream:
		return d.setLeaving(op.Name, false)
	case OpLiftSuspension:
		d.ResolvedSuspensions = append(d.ResolvedSuspensions, op.Name)
		return nil
	}
	return jdaw.Fail(jdaw.CodeInvalidChange, "unknown kind of change %q", op.Kind)
}

func (d *Document) setDataCentre(name string, out bool) error {
	for i := range d.DataCentres {
		if string(d.DataCentres[i].Name) == name {
			d.DataCentres[i].Out = out
			return nil
		}
	}
	return unknown(ObjectDataCentre, name)
}

func (d *Document) setLeaving(name string, leaving bool) error {
	for i := range d.Upstreams {
		if string(d.Upstreams[i].ID) == name {
			d.Upstreams[i].Leaving = leaving
			return nil
		}
	}
	return unknown(ObjectUpstream, name)
}

func (d *Document) undrain(vm jdaw.VMID) {
	var kept []jdaw.VMID
	for _, other := range d.DrainingVMs {
		if other != vm {
			kept = append(kept, other)
		}
	}
	d.DrainingVMs = kept
}

// withdraw takes a version out for good and ends its roll-out.
func (d *Document) withdraw(op Op) error {
	v, err := d.version(op.Name)
	if err != nil {
		return err
	}
	v.State = VersionWithdrawn
	v.Reason = op.Reason
	d.endRollout(jdaw.ParseModelVersion(op.Name))
	return nil
}

func (d *Document) version(name string) (*Version, error) {
	mv := jdaw.ParseModelVersion(name)
	for i := range d.Models {
		if d.Models[i].Name != mv.Model {
			continue
		}
		for j := range d.Models[i].Versions {
			if d.Models[i].Versions[j].Name == mv.Version {
				return &d.Models[i].Versions[j], nil
			}
		}
	}
	return nil, unknown("version", name)
}

func (d *Document) isWithdrawn(mv jdaw.ModelVersion) bool {
	v, err := d.version(mv.String())
	return err == nil && v.State == VersionWithdrawn
}

func (d *Document) endRollout(mv jdaw.ModelVersion) {
	var kept []Rollout
	for _, r := range d.Rollouts {
		if r.Model != mv.Model || r.Version != mv.Version {
			kept = append(kept, r)
		}
	}
	d.Rollouts = kept
}

func (d *Document) rollout(op Op, at time.Time) error {
	mv := jdaw.ParseModelVersion(op.Name)
	if op.Kind == OpStartRollout {
		d.addVersion(mv)
	}
	v, err := d.version(op.Name)
	if err != nil {
		return err
	}
	if op.Kind == OpStartRollout {
		return d.startRollout(mv, v, op.Share, at)
	}
	// The roll-out of a suspended version stays in the document, halted. To
	// step or to finish it would give the withdrawn version new work.
	if v.State == VersionWithdrawn && op.Kind != OpHaltRollout {
		return jdaw.Fail(jdaw.CodeInvalidChange, "version %s is withdrawn", mv)
	}
	for i := range d.Rollouts {
		r := &d.Rollouts[i]
		if r.Model != mv.Model || r.Version != mv.Version {
			continue
		}
		switch op.Kind {
		case OpStepRollout:
			r.SharePercent = op.Share
			r.State = RolloutRunning
		case OpHaltRollout:
			r.State = RolloutHalted
		case OpFinishRollout:
			d.finishRollout(mv)
		}
		return nil
	}
	return unknown(ObjectRollout, op.Name)
}

// addVersion adds a version that its model does not have yet.
func (d *Document) addVersion(mv jdaw.ModelVersion) {
	if mv.Version == "" || d.hasVersion(mv.Model, mv.Version) {
		return
	}
	for i := range d.Models {
		if d.Models[i].Name == mv.Model {
			d.Models[i].Versions = append(d.Models[i].Versions, Version{Name: mv.Version, State: VersionRollout})
		}
	}
}

func (d *Document) startRollout(mv jdaw.ModelVersion, v *Version, share float64, at time.Time) error {
	if v.State == VersionWithdrawn {
		return jdaw.Fail(jdaw.CodeInvalidChange, "version %s is withdrawn", mv)
	}
	for _, r := range d.Rollouts {
		if r.Model != mv.Model {
			continue
		}
		old := jdaw.ModelVersion{Model: r.Model, Version: r.Version}
		if !d.isWithdrawn(old) {
			return jdaw.Fail(jdaw.CodeInvalidChange, "a roll-out of %s is under way", old)
		}
		// A suspension leaves the roll-out of its version halted.
		d.endRollout(old)
		break
	}
	v.State = VersionRollout
	d.Rollouts = append(d.Rollouts, Rollout{
		Model: mv.Model, Version: mv.Version, SharePercent: share, State: RolloutRunning, StartedAt: at.UTC(),
	})
	return nil
}

// finishRollout makes the version the stable one: the first active version.
func (d *Document) finishRollout(mv jdaw.ModelVersion) {
	for i := range d.Models {
		m := &d.Models[i]
		if m.Name != mv.Model {
			continue
		}
		var first, rest []Version
		for _, v := range m.Versions {
			if v.Name == mv.Version {
				v.State = VersionActive
				first = append(first, v)
			} else {
				rest = append(rest, v)
			}
		}
		m.Versions = append(first, rest...)
	}
	d.endRollout(mv)
}

func unknown(kind ObjectKind, name string) error {
	return jdaw.Fail(jdaw.CodeUnknownObject, "%s %q does not exist", kind, name)
}

// object describes one list of the document for put and remove.
type object struct {
	list any    // pointer to the slice
	key  string // Go name of the naming field
}

func (d *Document) object(kind ObjectKind) (object, bool) {
	objects := map[ObjectKind]object{
		ObjectDataCentre: {&d.DataCentres, "Name"},
		ObjectModel:      {&d.Models, "Name"},
		ObjectRollout:    {&d.Rollouts, "Model"},
		ObjectCascade:    {&d.Cascades, "Name"},
		ObjectService:    {&d.Services, "Name"},
		ObjectWorkspace:  {&d.Workspaces, "ID"},
		ObjectUpstream:   {&d.Upstreams, "ID"},
		ObjectSessionKey: {&d.SessionKeys, "ID"},
		ObjectOperator:   {&d.Operators, "Name"},
	}
	o, ok := objects[kind]
	return o, ok
}

// put replaces the object of this name or appends it.
func (d *Document) put(op Op) error {
	o, ok := d.object(op.Object)
	if !ok {
		return jdaw.Fail(jdaw.CodeInvalidChange, "unknown kind of object %q", op.Object)
	}
	list := reflect.ValueOf(o.list).Elem()
	value := reflect.New(list.Type().Elem())
	dec := json.NewDecoder(bytes.NewReader(op.Value))
	dec.DisallowUnknownFields()
	if err := dec.Decode(value.Interface()); err != nil {
		return jdaw.Fail(jdaw.CodeInvalidChange, "%s %q: %v", op.Object, op.Name, strings.TrimPrefix(err.Error(), "json: "))
	}
	if name := value.Elem().FieldByName(o.key).String(); name != op.Name {
		return jdaw.Fail(jdaw.CodeInvalidChange, "%s %q: the value names %q", op.Object, op.Name, name)
	}
	if i := indexOf(list, o.key, op.Name); i >= 0 {
		list.Index(i).Set(value.Elem())
		return nil
	}
	list.Set(reflect.Append(list, value.Elem()))
	return nil
}

func (d *Document) remove(op Op) error {
	o, ok := d.object(op.Object)
	if !ok {
		return jdaw.Fail(jdaw.CodeInvalidChange, "unknown kind of object %q", op.Object)
	}
	list := reflect.ValueOf(o.list).Elem()
	i := indexOf(list, o.key, op.Name)
	if i < 0 {
		return unknown(op.Object, op.Name)
	}
	list.Set(reflect.AppendSlice(list.Slice3(0, i, i), list.Slice(i+1, list.Len())))
	return nil
}

func indexOf(list reflect.Value, key, name string) int {
	for i := 0; i < list.Len(); i++ {
		if list.Index(i).FieldByName(key).String() == name {
			return i
		}
	}
	return -1
}

package feed

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/wire"
)

// cachedChange is a change kept for other VMs.
type cachedChange struct {
	jdaw.Change
	once     sync.Once
	deflated []byte // the value as it is sent; nil if the value is short
}

// encodedValue returns the value as it is sent, and whether it is deflated. A long value
// is deflated once, on the first request for it; most VMs never get one.
func (k *cachedChange) encodedValue() (value []byte, isDeflated bool) {
	if len(k.Value) < minDeflated {
		return k.Value, false
	}
	k.once.Do(func() {
		var b bytes.Buffer
		// Writes to a buffer do not fail, and the level is a valid one.
		w, _ := flate.NewWriter(&b, flate.BestSpeed)
		_, _ = w.Write(k.Value)
		_ = w.Close()
		k.deflated = b.Bytes()
	})
	return k.deflated, true
}

func (k *cachedChange) encode() *wire.StoreChange {
	c := &wire.StoreChange{Key: k.Key, Revision: k.Revision, Removed: k.Removed}
	value, isDeflated := k.encodedValue()
	if isDeflated {
		c.Deflated = value
	} else {
		c.Value = value
	}
	return c
}

func decode(w *wire.StoreChange) (jdaw.Change, error) {
	c := jdaw.Change{Key: w.GetKey(), Value: w.GetValue(), Revision: w.GetRevision(), Removed: w.GetRemoved()}
	if len(w.GetDeflated()) == 0 {
		return c, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(w.GetDeflated())), maxValueBytes+1))
	if err == nil && len(value) > maxValueBytes {
		err = errors.Newf("it exceeds %d bytes", maxValueBytes)
	}
	c.Value = value
	return c, errors.Wrapf(err, "inflate the value of %s", c.Key)
}

package spread

import (
	"context"

	"jackdawbarrow/config"
)

// setWatch starts or ends the blocking queries of this VM.
func (n *Node) setWatch(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopWatch != nil {
		n.stopWatch()
		n.stopWatch = nil
	}
	if !on || n.closed {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	n.stopWatch = cancel
	n.wg.Go(func() { n.watch(ctx) })
}

func (n *Node) watch(ctx context.Context) {
	index := uint64(0)
	for ctx.Err() == nil {
		began := n.cfg.Clock.Now()
		queryCtx, cancel := context.WithTimeout(ctx, watchWait+storeReadTimeout)
		item, found, err := n.cfg.Store.Watch(queryCtx, config.StoreKey, index, watchWait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		isNew := err == nil && found && item.Index != index
		if isNew {
			index = item.Index
			n.postDocument(item.Value)
			continue
		}
		// A service that answers at once without news must not be asked in a
		// tight loop.
		if n.cfg.Clock.Now().Sub(began) < watchRetry {
			pauseFor(ctx, watchRetry)
		}
	}
}

func (n *Node) postDocument(value []byte) {
	doc, err := config.DecodeDocument(value)
	if err != nil {
		n.cfg.Log.WithError(err).Error("configuration in the store not readable")
		return
	}
	n.cfg.Post(DocumentRead{Doc: &doc})
}

// readOnce reads the document for the start of the VM.
func (n *Node) readOnce() {
	doc, index, err := n.readStore(n.ctx)
	if err != nil {
		n.cfg.Log.WithError(err).Debug("configuration not read from the store")
		return
	}
	if index > 0 {
		n.cfg.Post(DocumentRead{Doc: &doc})
	}
}

// readStore returns the document and its index; 0 if there is none.
func (n *Node) readStore(ctx context.Context) (config.Document, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	item, found, err := n.cfg.Store.Get(ctx, config.StoreKey)
	if err != nil || !found {
		return config.Document{}, 0, err
	}
	doc, err := config.DecodeDocument(item.Value)
	return doc, item.Index, err
}

func (n *Node) putStore(ctx context.Context, value []byte, index uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	return n.cfg.Store.Put(ctx, config.StoreKey, value, index)
}

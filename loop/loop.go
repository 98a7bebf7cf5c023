// Package loop runs the control state of a process on one goroutine.
//
// All machines of a process handle all events in the same order. Actions that
// are also events are fed back to the machines before the next external event,
// so that a change of the member table or of the configuration reaches every
// machine at the same point of the order.
//
// # Usage
//
//	l := loop.New(loop.Config{
//		Machines: []jdaw.Machine{peersMachine, ownerMachine},
//		Execute:  func(a jdaw.Action) { node.Execute(a) },
//	})
//	l.Post(ev)
//	defer l.Close()
package loop

import (
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"jackdawbarrow"
)

// defaultTick is below the shortest timeout of the machines, 250 ms.
const defaultTick = 100 * time.Millisecond

// Config configures a Loop.
type Config struct {
	Machines []jdaw.Machine
	// Execute executes an action. It is called on the loop's goroutine and
	// must not block; executors start their own goroutines for I/O.
	Execute func(a jdaw.Action)
	// Record, if set, receives each external event before it is handled.
	Record func(at time.Time, ev jdaw.Event)
	// RecordEmitted, if set, receives each event that a machine emitted before
	// it is handled. A trace with them can be replayed without that machine.
	RecordEmitted func(at time.Time, ev jdaw.Event)
	// RecordAction, if set, receives each action before it is executed.
	RecordAction func(at time.Time, a jdaw.Action)
	Clock        jdaw.Clock
	Tick         time.Duration
}

// Loop owns the control state of one process.
type Loop struct {
	cfg  Config
	wg   conc.WaitGroup
	stop chan struct{}
	last time.Time // of the last tick; only the loop's goroutine uses it

	mu    sync.Mutex
	queue []jdaw.Event
	wake  chan struct{}
}

// New starts the loop's goroutine.
func New(cfg Config) *Loop {
	if cfg.Clock == nil {
		cfg.Clock = jdaw.SystemClock{}
	}
	if cfg.Tick == 0 {
		cfg.Tick = defaultTick
	}
	l := &Loop{cfg: cfg, stop: make(chan struct{}), wake: make(chan struct{}, 1)}
	l.wg.Go(func() { l.run() })
	return l
}

// Post queues an event. It never blocks, so that executors called on the
// loop's goroutine may post; the queue is bounded by the events in flight of
// the gRPC handlers, which wait for their answers.
func (l *Loop) Post(ev jdaw.Event) {
	l.mu.Lock()
	l.queue = append(l.queue, ev)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Close stops the goroutine and waits for it.
func (l *Loop) Close() {
	close(l.stop)
	l.wg.Wait()
}

func (l *Loop) run() {
	ticker := time.NewTicker(l.cfg.Tick)
	defer ticker.Stop()
	l.last = l.cfg.Clock.Now()
	for {
		l.tickIfDue()
		for _, ev := range l.take() {
			l.tickIfDue()
			l.handle(l.cfg.Clock.Now(), ev)
		}
		select {
		case <-l.stop:
			return
		case <-l.wake:
		case <-ticker.C:
		}
	}
}

// tickIfDue sends a tick if the period has passed. It is called before each
// event: after a pause of the process the tick must reach the machines before
// events queued during the pause, or an owner would grant credits without
// detecting the pause.
func (l *Loop) tickIfDue() {
	now := l.cfg.Clock.Now()
	gap := now.Sub(l.last)
	if gap < l.cfg.Tick {
		return
	}
	l.last = now
	l.handle(now, jdaw.Tick{Gap: gap})
}

func (l *Loop) take() []jdaw.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.queue
	l.queue = nil
	return events
}

// handle passes one external event to all machines, then the events that the
// machines emitted.
func (l *Loop) handle(at time.Time, ev jdaw.Event) {
	if l.cfg.Record != nil {
		l.cfg.Record(at, ev)
	}
	pending := []jdaw.Event{ev}
	for i := 0; i < len(pending); i++ {
		next := pending[i]
		if i > 0 && l.cfg.RecordEmitted != nil {
			l.cfg.RecordEmitted(at, next)
		}
		for _, m := range l.cfg.Machines {
			for _, a := range m.Handle(at, next) {
				if l.cfg.RecordAction != nil {
					l.cfg.RecordAction(at, a)
				}
				if inner, ok := a.(jdaw.Event); ok {
					pending = append(pending, inner)
				}
				l.cfg.Execute(a)
			}
		}
	}
}

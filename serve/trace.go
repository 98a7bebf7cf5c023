package serve

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow/replay"
)

// trace is the file that the control events and decisions are recorded to.
type trace struct {
	file     *os.File
	recorder *replay.Recorder
}

func newTrace(path string, process replay.Process) (*trace, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "create trace")
	}
	t := &trace{file: f, recorder: replay.NewRecorder(f, replay.Standard())}
	t.recorder.Record(time.Now(), process)
	return t, nil
}

// closeTrace comes after the loop has stopped, which writes the trace.
func (p *Process) closeTrace() {
	if p.trace == nil {
		return
	}
	err := p.trace.recorder.Flush()
	if err == nil {
		err = p.trace.file.Close()
	}
	if err != nil {
		p.log.WithError(err).Error("the trace is incomplete")
	}
	if skipped := p.trace.recorder.Skipped(); len(skipped) > 0 {
		p.log.WithField("skipped", skipped).Warn("the trace leaves out events that cannot be encoded")
	}
}

// Package replay feeds recorded traces of control events to machines and checks
// the decisions against expected outcomes.
//
// A trace is a file of JSON lines, one event each:
//
//	{"at":"2026-05-01T09:00:00.25Z","event":"versionCounts","body":{...}}
//
// Machines read no clock and no random source, so replays are deterministic.
// Actions that are also events are passed to all machines, as in package loop.
//
// The outcomes are a YAML list:
//
//   - action: suspend            # at least one such action
//     field: name                # of Log entries; with equals or contains
//     equals: shuck-small@v2
//     within: 50 requests        # of that name; or a duration such as 30s
//     atMost: 1
//   - action: proposal
//     none: true                 # no such action
//   - holds: withdrawnVersion    # a [Rule] about the grants of an owner
//   - order:                     # the first of each, in this order
//   - action: publishRollouts
//   - action: suspend
//
// # Usage
//
//	log, err := replay.Run(trace, replay.Config{
//		Registry: replay.Standard(),
//		Machines: []jdaw.Machine{guard.NewMachine(guard.MachineConfig{})},
//	})
//	outcomes, err := replay.ParseOutcomes(yamlBytes)
//	err = log.Check(outcomes) // *UnmetError if an outcome is not met
//
// A process records its events and its decisions with a [Recorder]:
//
//	rec := replay.NewRecorder(file, replay.Standard())
//	rec.Record(time.Now(), replay.Process{VM: vm, Incarnation: inc})
//	l := loop.New(loop.Config{Record: rec.Record, RecordEmitted: rec.Record, RecordAction: rec.RecordAction, ...})
//	defer rec.Flush()
//
// Member table and configuration are recorded as the events that other machines
// emitted, without keys and tokens, so the machines of packages peers and spread
// are not replayed. [ProcessMachines] creates those that are.
//
// Machines compare times of events by the monotonic clock of the process, and a
// trace holds wall times. A clock step during the recording can therefore change
// a decision of the replay; [Log.CompareRecorded] detects it.
package replay

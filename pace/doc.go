// Package pace estimates how long work takes at the upstreams of a service.
//
// Upstreams of one service differ in speed, and some share their machines with
// others, which slows them down for some hundred milliseconds. An [Upstream]
// combines three sources:
//
//   - the slowdown that the upstream states in its responses, which is used for
//     a short time only;
//   - the requests that it states to hold, corrected by those sent since;
//   - its base speed relative to the other upstreams of the service, learned from
//     the durations of requests of this and of other VMs.
//
// The base speed is the mean of usual over measured durations. The usual
// duration is learned by [Service], for each kind of duration and level of load,
// so that requests of different sizes can be compared. With few samples, the
// base speed is near 1.
//
// The load it answers: upstreams that differ by more than two to one under a
// demand that waves, where equal shares fill the slow ones while the fast ones
// idle.
//
// The package reads no clock and no random source. Its types have no lock; the
// caller has one for a service and its upstreams.
//
// # Usage
//
//	s := pace.NewService(pace.Config{})
//	u := s.NewUpstream()
//	u.Report(now, answer.Load, false)
//	u.Observe(now, pace.Sample{Kind: pace.KindWhole, Name: "orders", Amount: 1, Took: took, Slowdown: answer.Load.Slowdown})
//	if s.Reports(now) {
//		relative := u.RelativeTime(now, others)
//		estimate, ok := u.Estimate(now, others, pace.Work{Name: "orders", InFlight: 3, Slots: 6})
//	}
package pace

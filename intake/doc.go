// Package intake bounds what callers hold of a process: connections, parsed
// headers, bodies that are being read, and answers that nobody reads.
//
// An [Account] covers all servers of the process. Each server has a [Class] with a
// bound on its connections, so that callers of one server don't take the
// descriptors of another. When there is no room for a newcomer, the connection that
// holds the most and has progressed the least is closed ([Holding] ranks them); the
// newcomer is only turned away if no connection may be closed. A request that has
// been passed on to an upstream is left alone, unless its caller doesn't read the
// answer.
//
// # Usage
//
//	account := intake.New(intake.Config{MaxFDs: 4100, MemoryBytes: 284 << 20, Log: log})
//	srv := &http.Server{
//		Handler: account.Handler(h), ConnContext: intake.ConnContext, ConnState: account.ConnStateChanged,
//	}
//	srv.Serve(account.Listen(l, intake.Callers))
//
// Code that keeps a body in memory states it with [Conn.HoldBody], and asks for room
// with [Conn.Reclaim].
package intake

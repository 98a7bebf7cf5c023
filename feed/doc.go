// Package feed serves the changes of the platform's store from one VM to
// others, so that not every VM of a large deployment has to read the store,
// and so that a VM which the store rejects still receives them. VMs also
// write for others: the counts of several VMs in one call, and writes that
// the store rejects from a VM.
//
// A [Feed] keeps the last changes that this VM has read and serves them over
// gRPC; a call waits for the next ones. Long values are sent deflated, and many
// changes in several replies. It is also the client of other VMs. A reply
// tells as of when the store was read: the VM may have lost it since. Package
// fleet selects the VM to call and handles failures.
//
// # Usage
//
//	f := feed.New(feed.Config{IsCurrent: node.ReadsStore, Writer: func() feed.Writer { return node }})
//	defer f.Close()
//	wire.RegisterFeedServer(server, f)
//	f.Restart(revision, readAt)  // after everything was read
//	f.Add(changes, next, readAt) // after each read of changes
//	reply, err := f.Changes(ctx, "10.0.0.2:7400", jdaw.FeedRequest{After: after, Wait: time.Second})
//	err = f.Write(ctx, "10.0.0.2:7400", entries)
package feed

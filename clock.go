package jdaw

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the source of time of goroutines that are not part of a [Machine].
type Clock interface {
	Now() time.Time
}

// SystemClock is a [Clock] that reads the system clock.
type SystemClock struct{}

// Now implements [Clock].
func (SystemClock) Now() time.Time { return time.Now() }

// BootTime returns the time since the machine started. Unlike the monotonic
// clock of package time it advances while the machine is suspended.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel since 2.6.39 has this clock.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// Sleep waits for d. It returns false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

package jdaw

import "time"

// Clock is the source of time of goroutines that are not part of a [Machine].
type Clock interface {
	Now() time.Time
}

// SystemClock reads the clock of the machine.
type SystemClock struct{}

// Now implements [Clock].
func (SystemClock) Now() time.Time { return time.Now() }

// Package kqopenloop sends calls at the times of a schedule, whatever became of
// the calls before. A generator that waits for answers slows down together with
// the system under test and so hides the waits that its users would have had;
// here a latency counts from the time that the schedule stated.
package kqopenloop

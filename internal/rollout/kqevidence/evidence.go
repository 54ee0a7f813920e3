package kqevidence

import (
	"math"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// Buckets is the number of latency buckets of a cell.
	Buckets = 48
	// MaxRoutes bounds the routes that are told apart; calls of further ones
	// count under Others.
	MaxRoutes = 16
	// Others stands for all routes over MaxRoutes.
	Others kqname.Route = "others"
	// Young stands for the calls of upstreams that have only just started. They count under their own route too, without their
	// latency; here they have it, to tell far slower from cold.
	Young kqname.Route = "just started"

	// first is the upper edge of the lowest bucket, in seconds. Growth steps
	// of a quarter tell 1.3 times slower from as fast, and 48 of them reach
	// 9 s, near a call's default timeout.
	first  = 250e-6
	growth = 1.25
)

var logGrowth = math.Log(growth)

type (
	// Cell counts the calls of one version on one route.
	Cell struct {
		Calls  uint32
		Failed uint32
		// Latency counts calls by how long the upstream had them.
		Latency [Buckets]uint32
	}

	// Pair holds both versions' cells of one route over the same seconds.
	Pair struct {
		Route kqname.Route `json:"route"`
		Old   Cell         `json:"old"`
		New   Cell         `json:"new"`
		// Margin is by how much, as a log, the new version's calls may take longer
		// for the sake of the servers that its upstreams run on.
		Margin float64 `json:"margin,omitzero"`
	}

	// Sample holds the pairs of one span of time.
	Sample []Pair
)

// Bucket returns the latency bucket of a duration.
func Bucket(took time.Duration) int {
	s := took.Seconds()
	if s <= first {
		return 0
	}
	return min(int(math.Ceil(math.Log(s/first)/logGrowth)), Buckets-1)
}

// Edge returns the upper edge of a latency bucket.
func Edge(bucket int) time.Duration {
	return time.Duration(first * math.Pow(growth, float64(bucket)) * float64(time.Second))
}

// Shift returns by how many buckets latencies move that grow by factor.
func Shift(factor float64) float64 { return math.Log(factor) / logGrowth }

// Count adds one call.
func (c *Cell) Count(took time.Duration, failed bool) {
	c.Calls++
	if failed {
		c.Failed++
	}
	c.Latency[Bucket(took)]++
}

// Add adds another cell's counts.
func (c *Cell) Add(o *Cell) {
	c.Calls += o.Calls
	c.Failed += o.Failed
	for i, n := range o.Latency {
		c.Latency[i] += n
	}
}

// CountUntimed adds one call whose time tells nothing of how long calls take, such as
// of an upstream that has only just started: its failure counts, its time does not.
func (c *Cell) CountUntimed(failed bool) {
	c.Calls++
	if failed {
		c.Failed++
	}
}

// Logs returns the number of latencies counted, and the sum and the sum of squares
// of their logs.
func (c *Cell) Logs() (calls, sum, squares float64) {
	for i, n := range c.Latency {
		if n == 0 {
			continue
		}
		k, x := float64(n), float64(i)*logGrowth
		calls += k
		sum += k * x
		squares += k * x * x
	}
	return calls, sum, squares
}

// Quantile returns the log of a quantile of the latencies, on the scale of Logs, drawn
// straight through its bucket; 0 where there are none.
func (c *Cell) Quantile(q float64) float64 {
	want, sum := q*float64(c.Timed()), 0.0
	for i, n := range c.Latency {
		if n > 0 && sum+float64(n) >= want {
			return (float64(i) - 0.5 + (want-sum)/float64(n)) * logGrowth
		}
		sum += float64(n)
	}
	return 0
}

// Spent returns how long the upstreams had the calls whose latency is counted, all
// together, to a tenth or so.
func (c *Cell) Spent() time.Duration {
	sum := time.Duration(0)
	for i, n := range c.Latency {
		if n > 0 {
			// The middle of the bucket.
			sum += time.Duration(float64(n) * float64(Edge(i)) / math.Sqrt(growth))
		}
	}
	return sum
}

// Timed returns how many calls have their latency counted.
func (c *Cell) Timed() uint32 {
	sum := uint32(0)
	for _, n := range c.Latency {
		sum += n
	}
	return sum
}

// Since returns what was counted after an earlier state of the same cell.
func (c *Cell) Since(earlier *Cell) Cell {
	d := Cell{Calls: c.Calls - earlier.Calls, Failed: c.Failed - earlier.Failed}
	for i, n := range c.Latency {
		d.Latency[i] = n - earlier.Latency[i]
	}
	return d
}

// Calls returns how many calls of each version the sample holds.
func (s Sample) Calls() (old, next uint64) {
	for i := range s {
		old += uint64(s[i].Old.Calls)
		next += uint64(s[i].New.Calls)
	}
	return old, next
}

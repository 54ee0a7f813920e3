package kqevidence

import (
	"math"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// Buckets is the number of latency buckets of a cell.
	Buckets = 48
	// MaxRoutes is the largest number of routes in a report, including OtherRoutes and
	// ColdUpstreams.
	MaxRoutes = 16
	// OtherRoutes stands for all routes that are not counted separately, so that a report
	// has at most MaxRoutes.
	OtherRoutes kqname.Route = "others"
	// ColdUpstreams stands for the calls to upstreams that have only just started. Each of
	// them also counts under its own route, but only here with its latency, which is
	// needed to distinguish a far slower version from a cold start. A gate that has
	// MaxRoutes-1 rows before its first such call counts them under OtherRoutes instead.
	ColdUpstreams kqname.Route = "just started"

	// lowestEdge is the upper edge of the lowest bucket, in seconds. Buckets that grow
	// by a quarter can distinguish a version that is 1.3 times slower from one that is
	// as fast, and 48 of them reach 9 s, near a call's default timeout.
	lowestEdge   = 250e-6
	bucketGrowth = 1.25
)

// LogBucketGrowth is the log of the factor between the edges of neighboring latency buckets.
var LogBucketGrowth = math.Log(bucketGrowth)

type (
	// Cell counts the calls of one version on one route.
	Cell struct {
		Calls  uint32
		Failed uint32
		// Latency counts calls by how long they took at the upstream.
		Latency [Buckets]uint32
	}

	// Pair holds the cells of both versions for one route over the same seconds.
	Pair struct {
		Route kqname.Route `json:"route"`
		Old   Cell         `json:"old"`
		New   Cell         `json:"new"`
		// LogMargin is by how much, as a log, the new version's calls may take longer
		// because of the servers that its upstreams run on.
		LogMargin float64 `json:"margin,omitzero"`
	}

	// Sample holds the pairs of all routes over one span of time.
	Sample []Pair
)

// Bucket returns the latency bucket of a duration.
func Bucket(latency time.Duration) int {
	s := latency.Seconds()
	if s <= lowestEdge {
		return 0
	}
	return min(int(math.Ceil(math.Log(s/lowestEdge)/LogBucketGrowth)), Buckets-1)
}

// Edge returns the upper edge of a latency bucket.
func Edge(bucket int) time.Duration {
	return time.Duration(lowestEdge * math.Pow(bucketGrowth, float64(bucket)) * float64(time.Second))
}

// BucketShift returns by how many buckets a latency moves if it grows by factor.
func BucketShift(factor float64) float64 { return math.Log(factor) / LogBucketGrowth }

// Count adds one call.
func (c *Cell) Count(latency time.Duration, failed bool) {
	c.Calls++
	if failed {
		c.Failed++
	}
	c.Latency[Bucket(latency)]++
}

// Add adds another cell's counts.
func (c *Cell) Add(o *Cell) {
	c.Calls += o.Calls
	c.Failed += o.Failed
	for i, n := range o.Latency {
		c.Latency[i] += n
	}
}

// CountUntimed adds one call whose latency is not representative, for example because its
// upstream has only just started: its failure counts, its latency does not.
func (c *Cell) CountUntimed(failed bool) {
	c.Calls++
	if failed {
		c.Failed++
	}
}

// LogSums returns the number of latencies counted, and the sum and the sum of squares
// of their logs. Each latency counts as the middle of its bucket on a log scale, and the
// logs are relative to the middle of the lowest bucket.
func (c *Cell) LogSums() (calls, sum, squares float64) {
	for i, n := range c.Latency {
		if n == 0 {
			continue
		}
		k, x := float64(n), float64(i)*LogBucketGrowth
		calls += k
		sum += k * x
		squares += k * x * x
	}
	return calls, sum, squares
}

// Quantile returns the log of a quantile of the latencies, on the scale of LogSums,
// interpolated linearly within its bucket, or 0 if there are no latencies.
func (c *Cell) Quantile(q float64) float64 {
	want, sum := q*float64(c.TimedCalls()), 0.0
	for i, n := range c.Latency {
		if n > 0 && sum+float64(n) >= want {
			return (float64(i) - 0.5 + (want-sum)/float64(n)) * LogBucketGrowth
		}
		sum += float64(n)
	}
	return 0
}

// TotalLatency returns the sum of the latencies counted, accurate to about a tenth for calls
// of 0.2 ms to 9 s.
func (c *Cell) TotalLatency() time.Duration {
	sum := time.Duration(0)
	for i, n := range c.Latency {
		if n > 0 {
			// The middle of the bucket.
			sum += time.Duration(float64(n) * float64(Edge(i)) / math.Sqrt(bucketGrowth))
		}
	}
	return sum
}

// TimedCalls returns the number of calls whose latency is counted.
func (c *Cell) TimedCalls() uint32 {
	sum := uint32(0)
	for _, n := range c.Latency {
		sum += n
	}
	return sum
}

// Since returns the counts added since an earlier state of the same cell.
func (c *Cell) Since(earlier *Cell) Cell {
	d := Cell{Calls: c.Calls - earlier.Calls, Failed: c.Failed - earlier.Failed}
	for i, n := range c.Latency {
		d.Latency[i] = n - earlier.Latency[i]
	}
	return d
}

// Calls returns how many calls of each version the pairs count. Calls that are also
// counted under ColdUpstreams count twice.
func (s Sample) Calls() (old, next uint64) {
	for i := range s {
		old += uint64(s[i].Old.Calls)
		next += uint64(s[i].New.Calls)
	}
	return old, next
}

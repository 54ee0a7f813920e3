package kqnodes

import (
	"slices"
	"time"
)

type (
	// Result is the result of one measurement.
	Result struct {
		Strategy string `json:"strategy"`
		Fault    string `json:"fault"`
		Runs     []Run  `json:"runs"`
		// Slopes are how much each figure grows with each additional node.
		Slopes Slopes `json:"slopes"`
	}

	// Run is the measurement of one fleet. Bytes count what was sent and what was
	// received, so that a byte between two nodes counts twice, and the keys, values and
	// lease IDs exchanged with the platform. Processor time and the growth of memory are
	// those of the whole process, including the fake platform. All three are divided by
	// the number of nodes at the start of the run, even if some are killed later. With
	// platform_down, Convergence and all figures of changes are 0.
	Run struct {
		Nodes       int         `json:"nodes"`
		Changes     int         `json:"changes"`
		Convergence Convergence `json:"convergence_ms"`
		Bytes       Bytes       `json:"control_bytes_per_node_per_second"`
		// BytesPerChange is the traffic of one node per change, beyond that of the idle
		// fleet.
		BytesPerChange float64 `json:"control_bytes_per_change"`
		// CPUShare and CPUShareChanging are processor seconds per second, of the idle
		// fleet and during changes.
		CPUShare         float64 `json:"cpu_share_per_node"`
		CPUShareChanging float64 `json:"cpu_share_per_node_changing"`
		MemoryBytes      float64 `json:"memory_bytes_per_node"`
		// PlatformCalls are the calls of the idle fleet per second, and
		// PlatformCallsPerChange those per change beyond them.
		PlatformCalls          float64 `json:"platform_calls_per_second"`
		PlatformCallsPerChange float64 `json:"platform_calls_per_change"`
		PlatformPeakReads      uint64  `json:"platform_peak_reads_per_second"`
		PlatformPeakWrites     uint64  `json:"platform_peak_writes_per_second"`
		PlatformRefused        uint64  `json:"platform_refused"`
		// VersionRegressions counts how often a node's version was lower than before.
		VersionRegressions int `json:"versions_fallen"`
		// Replaced is the number of nodes replaced or, after herd_restart, restarted.
		// ReplacedMS is how long after their start all nodes had the current version.
		Replaced   int     `json:"replaced_nodes,omitempty"`
		ReplacedMS float64 `json:"replaced_current_ms,omitempty"`
		// FirstCallWait is how long replaced nodes took to provide the configuration of
		// each of their first hosts, which a first call to the host would wait for.
		// BytesPerReplacedNode is the average control traffic of a replaced node until
		// then.
		FirstCallWait        *Convergence `json:"first_call_wait_ms,omitempty"`
		BytesPerReplacedNode float64      `json:"replaced_control_bytes,omitempty"`
	}

	// Convergence holds percentiles of times in milliseconds. For changes, each time is
	// that from the start of the commit until the last live node had the version in
	// force.
	Convergence struct {
		P50 float64 `json:"p50"`
		P99 float64 `json:"p99"`
		Max float64 `json:"max"`
	}

	// Bytes are the control bytes per node and second.
	Bytes struct {
		Idle     float64 `json:"idle"`
		Changing float64 `json:"changing"`
	}

	// Slopes are least-squares slopes over the number of nodes, 0 unless the runs have
	// at least two sizes.
	Slopes struct {
		ConvergenceMS  float64 `json:"convergence_ms_p50"`
		BytesIdle      float64 `json:"control_bytes_per_node_per_second_idle"`
		BytesPerChange float64 `json:"control_bytes_per_change"`
		CPUShare       float64 `json:"cpu_share_per_node"`
		MemoryBytes    float64 `json:"memory_bytes_per_node"`
		PlatformCalls  float64 `json:"platform_calls_per_second"`
	}
)

func percentiles(times []time.Duration) Convergence {
	if len(times) == 0 {
		return Convergence{}
	}
	slices.Sort(times)
	percentile := func(share float64) float64 {
		return float64(times[min(int(share*float64(len(times))), len(times)-1)].Microseconds()) / 1000
	}
	return Convergence{P50: percentile(0.5), P99: percentile(0.99), Max: percentile(1)}
}

func slopes(runs []Run) Slopes {
	slope := func(figure func(Run) float64) float64 {
		var n, x, y, xx, xy float64
		for _, r := range runs {
			a, b := float64(r.Nodes), figure(r)
			n, x, y, xx, xy = n+1, x+a, y+b, xx+a*a, xy+a*b
		}
		if d := n*xx - x*x; d != 0 {
			return (n*xy - x*y) / d
		}
		return 0
	}
	return Slopes{
		ConvergenceMS:  slope(func(r Run) float64 { return r.Convergence.P50 }),
		BytesIdle:      slope(func(r Run) float64 { return r.Bytes.Idle }),
		BytesPerChange: slope(func(r Run) float64 { return r.BytesPerChange }),
		CPUShare:       slope(func(r Run) float64 { return r.CPUShare }),
		MemoryBytes:    slope(func(r Run) float64 { return r.MemoryBytes }),
		PlatformCalls:  slope(func(r Run) float64 { return r.PlatformCalls }),
	}
}

package kqdemo

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrMissed reports that a required outcome was missed.
var ErrMissed = errors.New("outcome missed")

type (
	// Report is the result of one run of the script.
	Report struct {
		// Convergence is the time from the start of a commit until a node applies it.
		Convergence   Percentiles `json:"convergence_ms"`
		ControlBytes  float64     `json:"control_bytes_per_node_per_second"`
		PlatformCalls float64     `json:"platform_calls_per_second"`
		Calls         Calls       `json:"calls"`
		Rollouts      Rollouts    `json:"rollouts"`
		Outcomes      []Outcome   `json:"outcomes"`
	}

	// Percentiles summarizes a distribution of durations, in milliseconds.
	Percentiles struct {
		P50 float64 `json:"p50"`
		P99 float64 `json:"p99"`
		Max float64 `json:"max"`
	}

	// Calls counts the calls by result, as the callers observed it. Total is the sum
	// of Answered, NotRun, Unknown, Lost and Crossed. Doubled counts non-idempotent
	// calls that the fake upstreams ran more than once.
	Calls struct {
		Total    int `json:"total"`
		Answered int `json:"answered"`
		NotRun   int `json:"not_run"`
		Unknown  int `json:"unknown"`
		Lost     int `json:"lost"`
		Doubled  int `json:"doubled"`
		Crossed  int `json:"crossed"`
	}

	// Rollouts summarizes the rollouts of good and bad versions. GoodOnTime counts the
	// good versions whose rollout was done, not rolled back, by its deadline. BadShareMax
	// is the largest share of its service's calls that a bad version got in any second.
	// BadAfterDetectionS is the longest time in seconds from the detection by the first
	// node, or from the rollout's start if none detected it, to the last call that a bad
	// version began.
	Rollouts struct {
		Good               int     `json:"good"`
		GoodOnTime         int     `json:"good_on_time"`
		Bad                int     `json:"bad"`
		BadTakenBack       int     `json:"bad_taken_back"`
		BadShareMax        float64 `json:"bad_share_max"`
		BadAfterDetectionS float64 `json:"bad_seconds_after_detection"`
	}

	// Outcome is the result of one check: whether it held, and what was observed.
	Outcome struct {
		Name     string `json:"name"`
		Held     bool   `json:"held"`
		Observed string `json:"seen"`
	}
)

// Check returns an error that wraps ErrMissed and lists what was missed, unless
// every outcome held and every good rollout was done by its deadline.
func (r Report) Check() error {
	var missed []string
	for _, o := range r.Outcomes {
		if !o.Held {
			missed = append(missed, o.Name)
		}
	}
	if r.Rollouts.GoodOnTime < r.Rollouts.Good {
		missed = append(missed, fmt.Sprintf("%d of %d good rollouts on time", r.Rollouts.GoodOnTime, r.Rollouts.Good))
	}
	if len(missed) > 0 {
		return fmt.Errorf("%w: %v", ErrMissed, missed)
	}
	return nil
}

func percentiles(samples []time.Duration) Percentiles {
	if len(samples) == 0 {
		return Percentiles{}
	}
	sorted := slices.Sorted(slices.Values(samples))
	at := func(share float64) float64 {
		i := min(int(share*float64(len(sorted))), len(sorted)-1)
		return float64(sorted[i].Microseconds()) / 1000
	}
	return Percentiles{P50: at(0.5), P99: at(0.99), Max: at(1)}
}

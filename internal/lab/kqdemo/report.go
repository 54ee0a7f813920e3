package kqdemo

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrMissed tells that an outcome was missed.
var ErrMissed = errors.New("outcome missed")

type (
	// Report is what one run of the script has come to.
	Report struct {
		Convergence   Spread    `json:"convergence_ms"`
		ControlBytes  float64   `json:"control_bytes_per_node_per_second"`
		PlatformCalls float64   `json:"platform_calls_per_second"`
		Calls         Calls     `json:"calls"`
		Rollouts      Rollouts  `json:"rollouts"`
		Outcomes      []Outcome `json:"outcomes"`
	}

	// Spread is a distribution, in milliseconds.
	Spread struct {
		P50 float64 `json:"p50"`
		P99 float64 `json:"p99"`
		Max float64 `json:"max"`
	}

	// Calls counts how the calls ended, as their callers and the fake
	// upstreams saw it. Total is the sum of answered, not run, unknown, lost
	// and crossed.
	Calls struct {
		Total    int `json:"total"`
		Answered int `json:"answered"`
		NotRun   int `json:"not_run"`
		Unknown  int `json:"unknown"`
		Lost     int `json:"lost"`
		Doubled  int `json:"doubled"`
		Crossed  int `json:"crossed"`
	}

	// Rollouts tells how the rollouts ended. BadShareMax is the most that a bad
	// version had of its service's calls in any second; the seconds after
	// detection are from the first node's decision to the last call that a bad
	// version began.
	Rollouts struct {
		Good               int     `json:"good"`
		GoodOnTime         int     `json:"good_on_time"`
		Bad                int     `json:"bad"`
		BadTakenBack       int     `json:"bad_taken_back"`
		BadShareMax        float64 `json:"bad_share_max"`
		BadAfterDetectionS float64 `json:"bad_seconds_after_detection"`
	}

	// Outcome is one line of what must always hold.
	Outcome struct {
		Name string `json:"name"`
		Held bool   `json:"held"`
		Seen string `json:"seen"`
	}
)

// Check returns ErrMissed, and what was missed, unless every outcome held and
// every good rollout ended on time.
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

func spread(samples []time.Duration) Spread {
	if len(samples) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(samples))
	at := func(share float64) float64 {
		i := min(int(share*float64(len(sorted))), len(sorted)-1)
		return float64(sorted[i].Microseconds()) / 1000
	}
	return Spread{P50: at(0.5), P99: at(0.99), Max: at(1)}
}

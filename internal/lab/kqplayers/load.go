package kqplayers

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqloadmodel"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqreplay"
)

type (
	// load is the player for kqloadmodel, which runs all decisions on a service's
	// calls together. Its state is a summary of the results that callers receive.
	load struct {
		model     *kqloadmodel.Model
		upstreams int
	}

	// loadInput is one of: a stream of calls that starts, a change of an upstream's
	// service time, or a reset of the tally, after which the state covers only calls
	// that end later.
	loadInput struct {
		Stream           *kqloadmodel.Stream `json:"stream"`
		ScaleServiceTime *serviceTimeScale   `json:"slow"`
		ResetTally       bool                `json:"mark"`
	}

	// serviceTimeScale multiplies the service time of the upstream with index
	// Upstream, starting at 0, by Factor.
	serviceTimeScale struct {
		Upstream int     `json:"upstream"`
		Factor   float64 `json:"factor"`
	}

	loadState struct {
		Ended            int                  `json:"ended"`
		InTime           int                  `json:"in_time"`
		InTimeShare      float64              `json:"in_time_share"`
		Late             int                  `json:"answered_late"`
		Unknown          int                  `json:"unknown"`
		Retries          int                  `json:"retries"`
		RefusalsByReason map[string]int       `json:"refused"`
		RefusalP99       float64              `json:"refusal_ms_p99"`
		Callers          map[string]loadGroup `json:"by_caller"`
		Routes           map[string]loadGroup `json:"by_route"`
	}

	loadGroup struct {
		Ended       int     `json:"ended"`
		InTimeShare float64 `json:"in_time_share"`
		P50         float64 `json:"p50_ms"`
		P99         float64 `json:"p99_ms"`
	}
)

func newLoad(settings json.RawMessage, seed uint64) (kqreplay.Player, error) {
	s := kqloadmodel.Settings{Upstreams: 6, Slots: 6, Entries: 6}
	if err := decodeStrict(settings, &s); err != nil {
		return nil, err
	}
	if s.Upstreams < 1 || s.Slots < 1 || s.Entries < 1 {
		return nil, fmt.Errorf("upstreams %d, slots %d and entries %d must be at least 1", s.Upstreams, s.Slots, s.Entries)
	}
	return &load{model: kqloadmodel.New(s, seed), upstreams: s.Upstreams}, nil
}

// Input implements kqreplay.Player.
func (l *load) Input(at time.Duration, input json.RawMessage) ([]kqreplay.Decision, error) {
	var in loadInput
	if err := decodeStrict(input, &in); err != nil {
		return nil, err
	}
	l.model.RunUntil(time.UnixMilli(0).Add(at))
	switch {
	case in.Stream != nil && in.Stream.Rate > 0 && in.Stream.ServiceTimeMS > 0 && in.Stream.DeadlineMS > 0:
		l.model.AddStream(*in.Stream)
	case in.ScaleServiceTime != nil && in.ScaleServiceTime.Upstream >= 0 && in.ScaleServiceTime.Upstream < l.upstreams && in.ScaleServiceTime.Factor > 0:
		l.model.ScaleServiceTime(in.ScaleServiceTime.Upstream, in.ScaleServiceTime.Factor)
	case in.ResetTally:
		l.model.ResetTally()
	default:
		return nil, fmt.Errorf("input %s must have a stream with rate, work_ms and deadline_ms over 0, a slow with a known upstream and a factor over 0, or a mark", input)
	}
	return nil, nil
}

// State implements kqreplay.Player.
func (l *load) State(at time.Duration) (any, error) {
	l.model.RunUntil(time.UnixMilli(0).Add(at))
	t := l.model.Tally()
	s := loadState{
		Ended: t.Ended, InTime: t.InTime, InTimeShare: t.InTimeShare(), Late: t.Late, Unknown: t.Unknown, Retries: t.Retries,
		RefusalsByReason: make(map[string]int), RefusalP99: quantile(t.RefusalLatency, 99),
		Callers: make(map[string]loadGroup), Routes: make(map[string]loadGroup),
	}
	for reason, n := range t.RefusalsByReason {
		s.RefusalsByReason[string(reason)] = n
	}
	for name, g := range t.Callers {
		s.Callers[string(name)] = summarizeGroup(g)
	}
	for name, g := range t.Routes {
		s.Routes[string(name)] = summarizeGroup(g)
	}
	return s, nil
}

func summarizeGroup(g *kqloadmodel.Group) loadGroup {
	return loadGroup{Ended: g.Ended, InTimeShare: g.InTimeShare(), P50: quantile(g.Latency, 50), P99: quantile(g.Latency, 99)}
}

// quantile returns the quantile q, in percent, of a histogram of microseconds. The
// result is in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

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
	// load plays all decisions on a service's calls together, judged by what
	// callers receive.
	load struct {
		model     *kqloadmodel.Model
		upstreams int
	}

	// loadInput is one of: a stream of calls that begins, an upstream that
	// becomes slower or faster, or a mark from which the outcomes count anew.
	loadInput struct {
		Stream *kqloadmodel.Stream `json:"stream"`
		Slow   *loadSlow           `json:"slow"`
		Mark   bool                `json:"mark"`
	}

	loadSlow struct {
		Upstream int     `json:"upstream"`
		Factor   float64 `json:"factor"`
	}

	loadState struct {
		Ended      int                  `json:"ended"`
		InTime     int                  `json:"in_time"`
		Share      float64              `json:"in_time_share"`
		Late       int                  `json:"answered_late"`
		Unknown    int                  `json:"unknown"`
		Retries    int                  `json:"retries"`
		Refused    map[string]int       `json:"refused"`
		RefusalP99 float64              `json:"refusal_ms_p99"`
		Callers    map[string]loadGroup `json:"by_caller"`
		Routes     map[string]loadGroup `json:"by_route"`
	}

	loadGroup struct {
		Ended int     `json:"ended"`
		Share float64 `json:"in_time_share"`
		P50   float64 `json:"p50_ms"`
		P99   float64 `json:"p99_ms"`
	}
)

func newLoad(settings json.RawMessage, seed uint64) (kqreplay.Player, error) {
	s := kqloadmodel.Settings{Upstreams: 6, Slots: 6, Entries: 6}
	if err := read(settings, &s); err != nil {
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
	if err := read(input, &in); err != nil {
		return nil, err
	}
	l.model.Run(time.UnixMilli(0).Add(at))
	switch {
	case in.Stream != nil && in.Stream.Rate > 0 && in.Stream.WorkMS > 0 && in.Stream.DeadlineMS > 0:
		l.model.Offer(*in.Stream)
	case in.Slow != nil && in.Slow.Upstream >= 0 && in.Slow.Upstream < l.upstreams && in.Slow.Factor > 0:
		l.model.Slow(in.Slow.Upstream, in.Slow.Factor)
	case in.Mark:
		l.model.Mark()
	default:
		return nil, fmt.Errorf("input %s is no stream with rate, work_ms and deadline_ms, no slow upstream and no mark", input)
	}
	return nil, nil
}

// State implements kqreplay.Player.
func (l *load) State(at time.Duration) (any, error) {
	l.model.Run(time.UnixMilli(0).Add(at))
	t := l.model.Tally()
	s := loadState{
		Ended: t.Ended, InTime: t.InTime, Share: t.Share(), Late: t.Late, Unknown: t.Unknown, Retries: t.Retries,
		Refused: make(map[string]int), RefusalP99: quantile(t.Refusals, 99),
		Callers: make(map[string]loadGroup), Routes: make(map[string]loadGroup),
	}
	for reason, n := range t.Refused {
		s.Refused[string(reason)] = n
	}
	for name, g := range t.Callers {
		s.Callers[string(name)] = groupOf(g)
	}
	for name, g := range t.Routes {
		s.Routes[string(name)] = groupOf(g)
	}
	return s, nil
}

func groupOf(g *kqloadmodel.Group) loadGroup {
	return loadGroup{Ended: g.Ended, Share: g.Share(), P50: quantile(g.Took, 50), P99: quantile(g.Took, 99)}
}

// quantile is in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

package main

import (
	"encoding/json"
	"sort"
	"time"
)

const (
	orderDuration = 16 * time.Second
	// drainAfter is how long after the report the servers of a version that was rolled back
	// begin to leave.
	drainAfter    = 9 * time.Second
	exposureShare = 0.1
	exposureSlack = 50
	badAnswers    = 50
	// slowTimes is how many times longer a bad version takes on its bad route.
	slowTimes = 8
)

// state returns the state that the system has reported of the service's rollout to a version.
func (w *World) state(service, version string) string {
	data, ok := w.Store.Get("status/rollout/" + service)
	var s struct{ State, TargetVersion string }
	if !ok || json.Unmarshal(data, &s) != nil || s.TargetVersion != version {
		return ""
	}
	return s.State
}

func (w *World) order(service, version string) time.Time {
	w.Store.Put("op/rollout/"+service, map[string]any{"Service": service, "TargetVersion": version, "Duration": orderDuration.String()})
	w.Record.Sayf("the operator orders %s of %s within %v", version, service, orderDuration)
	return time.Now()
}

// rolledback orders a bad version, and once it is reported as rolled back the next version.
// Right after that order it kills all processes of the system.
func rolledback(w *World) int {
	services := make([]string, 12)
	for i := range services {
		services[i] = "storefront"
	}
	work := 40 * time.Millisecond
	if err := w.Begin(config(7, "storefront"), services, 4, work); err != nil {
		w.Record.Sayf("%v", err)
		return cannotRun
	}
	defer w.CloseServers()
	time.Sleep(6 * time.Second)
	sent := make(chan []Answer, 2)
	// The clients are on the machines of the first version.
	request := func(path, prefix string, gap time.Duration) {
		sent <- w.Requests("GET", "shop.example", path, prefix, gap, 24*time.Second, 2500*time.Millisecond, w.Machines[:4])
	}
	go request("/browse/list", "b", 3500*time.Microsecond)
	go request("/stock/list", "s", 20*time.Millisecond)
	time.Sleep(2 * time.Second)
	if err := w.Add(4, 8, "v2", work, "/stock/"); err != nil {
		w.Record.Sayf("%v", err)
		return cannotRun
	}
	ordered := w.order("storefront", "v2")
	for end := ordered.Add(orderDuration); w.state("storefront", "v2") != "rolled_back"; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			w.Record.Sayf("v2 is not rolled back in time: %q", w.state("storefront", "v2"))
			return cannotRun
		}
	}
	reported := time.Now()
	bad := append([]*Server(nil), w.Servers[4:8]...)
	w.Record.Sayf("the system reports v2 as rolled back")
	time.Sleep(200 * time.Millisecond)
	w.order("storefront", "v3")
	if w.Trouble {
		w.KillAll(w.Machines[:8])
	}
	if err := w.Add(8, 12, "v3", work, ""); err != nil {
		w.Record.Sayf("%v", err)
		return cannotRun
	}
	time.Sleep(time.Until(reported.Add(drainAfter)))
	for _, s := range bad {
		go s.Drain()
	}
	w.Record.Sayf("the servers of v2 report that they drain")
	time.Sleep(4 * time.Second)
	for _, s := range bad {
		s.Close()
	}
	w.Record.Sayf("the servers of v2 end")
	answers := append(<-sent, <-sent...)
	return w.judgeExposure(answers, bad, ordered)
}

// judgeExposure checks both sentences of the rule EXPOSURE for the bad version.
func (w *World) judgeExposure(answers []Answer, bad []*Server, ordered time.Time) int {
	at, from := make(map[string]time.Time), make(map[string]*Machine)
	for _, a := range answers {
		at[a.ID], from[a.ID] = a.Sent, a.From
	}
	beside := make(map[string]*Machine)
	for i, s := range w.Servers {
		beside[s.ID] = w.Machines[i]
	}
	deadline := ordered.Add(orderDuration)
	reach, exposed := 0, 0
	var failures []time.Time
	for _, s := range w.Servers {
		isBad := s.Version == "v2"
		for _, r := range s.Runs() {
			isCounted := r.At.After(ordered) && r.At.Before(deadline)
			if isCounted {
				reach++
			}
			if !isBad {
				continue
			}
			if r.Bad {
				failures = append(failures, r.At.Add(s.Work*slowTimes))
			}
			if isCounted && inTouch(from[r.RequestID], r.At) && inTouch(beside[s.ID], r.At) {
				exposed++
			}
		}
	}
	sort.Slice(failures, func(i, j int) bool { return failures[i].Before(failures[j]) })
	served := countOK(answers)
	w.Record.Sayf("%d of %d requests got a success; %d requests reached the service between the order and its deadline", served, len(answers), reach)
	if served < len(answers)/2 {
		return cannotRun
	}
	result := held
	bound := exposureShare*float64(reach) + exposureSlack
	w.Record.Sayf("v2 got %d of them from machines in touch, %.0f are allowed", exposed, bound)
	if float64(exposed) > bound {
		result = broken
	}
	if len(failures) >= badAnswers {
		limit := failures[badAnswers-1].Add(rollback)
		late := 0
		for _, s := range bad {
			for _, r := range s.Runs() {
				if at[r.RequestID].After(limit) && inTouch(from[r.RequestID], at[r.RequestID]) && inTouch(beside[s.ID], at[r.RequestID]) {
					late++
				}
			}
		}
		w.Record.Sayf("v2 gave its 50th bad answer %.3f s after the order; requests that it got from machines in touch and that were sent later than Rollback (%v) after it: %d", failures[badAnswers-1].Sub(ordered).Seconds(), rollback, late)
		if late > 0 {
			result = broken
		}
	} else {
		w.Record.Sayf("v2 gave %d bad answers", len(failures))
	}
	if result == broken {
		w.Record.Sayf("EXPOSURE is broken")
	} else {
		w.Record.Sayf("EXPOSURE held")
	}
	return result
}

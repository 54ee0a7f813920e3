package main

import (
	"encoding/json"
	"sort"
	"time"
)

const (
	rollbackBound = 5 * time.Second
	badAnswers    = 50
	exposureShare = 0.1
	exposureSlack = 50
	// staysAfter is how long after rolled_back the new servers drain.
	staysAfter = 9 * time.Second
	orderTime  = 14 * time.Second
	// versionSize is the number of servers of each version.
	versionSize = 6
	// badShare is the share of its requests that the bad version fails, work how long a request
	// takes, and gap the time between two requests.
	badShare = 0.54
	work     = 120 * time.Millisecond
	gap      = 4 * time.Millisecond
)

type status struct{ Service, State, TargetVersion string }

func (w *World) rolloutStatus() status {
	var s status
	if data, ok := w.Store.Get("status/rollout/huvo11a"); ok {
		_ = json.Unmarshal(data, &s)
	}
	return s
}

func (w *World) awaitState(version, state string, most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s := w.rolloutStatus(); s.TargetVersion == version && s.State == state {
			return true
		}
	}
	return false
}

func (w *World) order(version string) {
	w.Store.Put("op/rollout/huvo11a", map[string]any{"Service": "huvo11a", "TargetVersion": version, "Duration": "14s"})
	w.Record.Sayf("the operator orders version %s", version)
}

// exposure orders a bad version and, once the system has reported that it is rolled back, a good
// one. All nodes are killed and started again while the bad version's servers are still there.
func exposure(w *World) int {
	services := make([]string, 3*versionSize)
	for i := range services {
		services[i] = "huvo11a"
	}
	if err := w.Begin(config(7), services, versionSize, work); err != nil {
		w.Record.Sayf("%v", err)
		return cannotRun
	}
	var answers []Answer
	stop, ended := make(chan struct{}), make(chan struct{})
	machines := make(chan []*Machine, 4)
	go func() {
		defer close(ended)
		answers = w.traffic(w.Machines[:versionSize], machines, stop)
	}()
	time.Sleep(4 * time.Second)
	ordered := time.Now()
	w.order("v2")
	if err := w.Add(versionSize, 2*versionSize, "v2", work, badShare); err != nil {
		return cannotRun
	}
	machines <- w.Machines[:2*versionSize]
	if !w.awaitState("v2", "rolled_back", orderTime) {
		w.Record.Sayf("version v2 is not rolled back")
		return cannotRun
	}
	back := time.Now()
	w.Record.Sayf("the system reports that version v2 is rolled back")
	bad := w.Servers[versionSize : 2*versionSize]
	go func() {
		time.Sleep(time.Until(back.Add(staysAfter)))
		w.Record.Sayf("the servers of version v2 drain")
		for _, s := range bad {
			s.Drain()
		}
	}()
	time.Sleep(300 * time.Millisecond)
	w.order("v3")
	if err := w.Add(2*versionSize, 3*versionSize, "v3", work, 0); err != nil {
		return cannotRun
	}
	machines <- w.Machines
	calm := time.Now()
	if w.Trouble {
		w.killAll()
		time.Sleep(restartDelay)
		if w.startAll() != nil {
			return cannotRun
		}
		calm = time.Now().Add(stableWindow + 100*time.Millisecond)
	}
	time.Sleep(time.Until(back.Add(staysAfter + time.Second)))
	close(stop)
	<-ended
	return w.judgeExposure(bad, answers, ordered, calm)
}

// traffic sends a request each gap a second to the machines in turn until stop is closed.
func (w *World) traffic(now []*Machine, next <-chan []*Machine, stop <-chan struct{}) []Answer {
	answers := make(chan Answer, 64)
	var list []Answer
	count, open := 0, 0
	ticker := time.NewTicker(gap)
	defer ticker.Stop()
	for stopped := false; !stopped || open > 0; {
		select {
		case <-ticker.C:
			if stopped {
				continue
			}
			m := now[count%len(now)]
			count++
			open++
			id := "r" + time.Now().Format("150405.000000")
			go func() { answers <- Send(m, w.Record, "GET", host, "/lohu930/2f", id, "", 2500*time.Millisecond) }()
		case a := <-answers:
			list = append(list, a)
			open--
		case now = <-next:
		case <-stop:
			stopped, stop = true, nil
		}
	}
	return list
}

// judgeExposure checks the rule for the bad version: at most a tenth of the requests that reach
// the service between the order and its deadline, and 50, from machines in touch; and none sent
// later than Rollback after the version's 50th bad answer, from a machine in touch.
func (w *World) judgeExposure(bad []*Server, answers []Answer, ordered, calm time.Time) int {
	sent := make(map[string]time.Time, len(answers))
	for _, a := range answers {
		sent[a.ID] = a.Sent
	}
	var runs, failed []Run
	for _, s := range bad {
		runs = append(runs, s.Runs()...)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].At.Before(runs[j].At) })
	for _, r := range runs {
		if r.Failed {
			failed = append(failed, r)
		}
	}
	all := 0
	for _, s := range w.Servers {
		for _, r := range s.Runs() {
			if r.At.After(ordered) && r.At.Before(ordered.Add(orderTime)) {
				all++
			}
		}
	}
	late, inTouch := 0, 0
	for _, r := range runs {
		// All machines are out of touch from the kill until calm.
		if at, ok := sent[r.RequestID]; ok && at.After(calm) {
			inTouch++
			if len(failed) >= badAnswers && at.After(failed[badAnswers-1].At.Add(rollbackBound)) {
				late++
			}
		}
	}
	w.Record.Sayf("%d of %d requests are served", countOK(answers), len(answers))
	w.Record.Sayf("version v2 got %d requests, %d of them answered badly; %d were sent after all machines were in touch again", len(runs), len(failed), inTouch)
	if len(failed) >= badAnswers {
		w.Record.Sayf("the 50th bad answer came %.1f s after the order; %d requests were sent later than %v after it by machines in touch", failed[badAnswers-1].At.Sub(ordered).Seconds(), late, rollbackBound)
	}
	bound := int(exposureShare*float64(all)) + exposureSlack
	w.Record.Sayf("%d requests reached the service between the order and its deadline, so that version v2 may get %d", all, bound)
	if late > 0 || inTouch > bound {
		return broken
	}
	return held
}

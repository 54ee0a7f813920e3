package main

import (
	"fmt"
	"time"
)

// greyFor is how long the servers shed a part of their requests, and faultyFor how long half of them
// send second answers. Both happen rounds times, one every roundTime.
const (
	greyFor   = 8 * time.Second
	faultyFor = 5 * time.Second
	rounds    = 3
	roundTime = 12 * time.Second
)

// secondrun is the case of orders that run twice, or run although they were refused, since a server
// sends the answer to a request that it has shed a second time.
func secondrun(w *World) int {
	rule := map[string]any{
		"Name": "r-s989anu", "Kind": "non_idempotent", "TargetLatency": "500ms", "Priority": 1,
		"Match": map[string]any{"PathPrefix": "/xapu221/"}, "Action": map[string]any{"Service": "wuno96b", "Timeout": "1500ms", "MaxAttempts": 2},
	}
	config := map[string]any{
		"Version":   7,
		"Limits":    map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
		"Listeners": []any{map[string]any{"Hostname": "hulo84.example", "Rules": []any{rule}}},
		"Clusters":  []any{map[string]any{"Name": "wuno96b", "HealthPath": "/health", "MaxConnections": 120}},
	}
	services := []string{"wuno96b", "wuno96b", "wuno96b", "wuno96b", "wuno96b", "wuno96b"}
	if err := w.BeginEmpty(config, services); err != nil {
		w.Record.Sayf("cannot begin: %v", err)
		return cannotRun
	}
	var servers []*shedServer
	for i, m := range w.Machines {
		s := &Server{
			ID: fmt.Sprintf("i-%d-%d", i+1, time.Now().UnixNano()%100000), Service: m.Service, Version: "v1", Zone: m.Zone,
			Address: m.App(), Control: m.Control(), Slots: 6, Work: 30 * time.Millisecond,
		}
		r, err := s.StartShedding(w.Record)
		if err != nil {
			w.Record.Sayf("cannot start a server: %v", err)
			return cannotRun
		}
		servers = append(servers, r)
	}
	if !AwaitReady(w.Machines, 15*time.Second) {
		w.Record.Sayf("the nodes don't become ready")
		return cannotRun
	}
	all := make(chan []Answer, 1)
	go func() {
		all <- w.Requests("POST", "hulo84.example", "/xapu221/2f", "9c41d07b", 5*time.Millisecond, rounds*roundTime, 3*time.Second, w.Machines)
	}()
	for range rounds {
		time.Sleep(roundTime - greyFor - time.Second)
		began := time.Now()
		if w.Trouble {
			w.Record.Sayf("the servers shed %.0f of 100 requests for %v; from 1 s later on, three of six send %.0f of 100 answers a second time for %v", greyShare*100, greyFor, secondShare*100, faultyFor)
			for _, s := range servers {
				s.greyUntil.Store(began.Add(greyFor).UnixNano())
			}
			time.Sleep(time.Second)
			for _, s := range servers[:len(servers)/2] {
				s.faultyUntil.Store(time.Now().Add(faultyFor).UnixNano())
			}
		}
		time.Sleep(time.Until(began.Add(greyFor + time.Second)))
	}
	answers := <-all
	time.Sleep(time.Second)
	return w.countRuns(answers, servers)
}

// countRuns counts the requests that ran twice, and those that ran although they were refused.
func (w *World) countRuns(answers []Answer, servers []*shedServer) int {
	runs, seconds := make(map[string]int), int64(0)
	for _, s := range servers {
		seconds += s.seconds.Load()
		for _, r := range s.Runs() {
			runs[r.RequestID]++
		}
	}
	twice, refused := 0, 0
	for _, a := range answers {
		if runs[a.ID] > 1 {
			twice++
			w.Record.Sayf("%s ran %d times; its client got %d", a.ID, runs[a.ID], a.Status)
		}
		if a.Err == nil && (a.Status == 503 || a.Status == 429) && runs[a.ID] > 0 {
			refused++
			w.Record.Sayf("%s was refused with %d and has run", a.ID, a.Status)
		}
	}
	w.Record.Sayf("%d of %d orders were served; servers sent %d answers a second time", countOK(answers), len(answers), seconds)
	w.Record.Sayf("orders that ran more than once: %d; refused and run: %d", twice, refused)
	if countOK(answers) < len(answers)/4 {
		w.Record.Sayf("too few orders were served to tell")
		return cannotRun
	}
	if twice > 0 || refused > 0 {
		return broken
	}
	return held
}

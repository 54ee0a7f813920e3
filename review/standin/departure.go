package main

import (
	"os"
	"syscall"
	"time"
)

const (
	stableWindow = 3 * time.Second
	drainBound   = 2 * time.Second
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = 400 * time.Millisecond
	host         = "ficu95.example"
)

func config(version int) any {
	return map[string]any{
		"Version": version,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
		"Listeners": []any{map[string]any{"Hostname": host, "Rules": []any{
			rule("r-browse", "idempotent", "/lohu930/", "huvo11a", "400ms", "1200ms", 2),
			rule("r-order", "non_idempotent", "/pufi791/", "huvo11a", "500ms", "1500ms", 1),
		}}},
		"Clusters": []any{map[string]any{"Name": "huvo11a", "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": false}},
	}
}

func rule(name, kind, prefix, service, target, timeout string, priority int) any {
	return map[string]any{
		"Name": name, "Kind": kind, "TargetLatency": target, "Priority": priority, "Match": map[string]any{"PathPrefix": prefix},
		"Action": map[string]any{"Service": service, "Timeout": timeout, "MaxAttempts": 2},
	}
}

// departure plays the way of the fault that VARIANT names; without trouble it plays both.
func departure(w *World) int {
	inOutage := os.Getenv("VARIANT") == "outage"
	if inOutage && w.Trouble {
		return departureInOutage(w)
	}
	result := departureAtOnce(w)
	if w.Trouble || result != held {
		return result
	}
	w.Fleet.Close()
	w.CloseServers()
	return departureInOutage(w)
}

// departureAtOnce lets a server say that it leaves, and kills all nodes right after the
// acknowledgement. Nothing else is disturbed.
func departureAtOnce(w *World) int {
	leaving, acknowledged, result := w.serveAndLeave(func() {})
	if result != held {
		return result
	}
	if w.Trouble {
		w.killAll()
		time.Sleep(restartDelay)
		if err := w.startAll(); err != nil {
			return cannotRun
		}
	}
	return w.checkDeparture(leaving, acknowledged)
}

// departureInOutage lets a server say that it leaves while the store is down, and kills all
// nodes before the store is back.
func departureInOutage(w *World) int {
	var began time.Time
	until := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	leaving, acknowledged, result := w.serveAndLeave(func() {
		began = time.Now()
		if w.Trouble {
			w.Store.SetDown(true)
			w.Record.Sayf("the store is down (silent)")
		}
		until(time.Second)
	})
	if result != held {
		return result
	}
	until(6600 * time.Millisecond)
	if w.Trouble {
		w.killAll()
		time.Sleep(restartDelay)
		if err := w.startAll(); err != nil {
			return cannotRun
		}
	}
	until(7500 * time.Millisecond)
	if w.Trouble {
		w.Store.SetDown(false)
		w.Record.Sayf("the store is back")
	}
	return w.checkDeparture(leaving, acknowledged)
}

// serveAndLeave starts a fleet, lets it serve, and lets one server leave after before. The
// server never says that it is draining: it deregisters first.
func (w *World) serveAndLeave(before func()) (*Server, time.Time, int) {
	if err := w.Begin(config(7), []string{"huvo11a", "huvo11a", "huvo11a", "huvo11a"}, 4, 20*time.Millisecond); err != nil {
		w.Record.Sayf("%v", err)
		return nil, time.Time{}, cannotRun
	}
	answers := w.Requests("GET", host, "/lohu930/2f", "before", 20*time.Millisecond, 5*time.Second, 2500*time.Millisecond, w.Machines)
	w.Record.Sayf("before: %d of %d requests are served", countOK(answers), len(answers))
	if countOK(answers) < len(answers)*9/10 {
		return nil, time.Time{}, cannotRun
	}
	before()
	leaving := w.Servers[0]
	acknowledged, err := leaving.Deregister()
	if err != nil {
		w.Record.Sayf("the server's leaving is not acknowledged: %v", err)
		return nil, acknowledged, cannotRun
	}
	return leaving, acknowledged, held
}

// checkDeparture waits until all machines are in touch, sends requests for as long as the
// server that has left still serves, and reports whether it gets any.
func (w *World) checkDeparture(leaving *Server, acknowledged time.Time) int {
	w.Record.Sayf("the leaving of server %s was acknowledged %.3f s ago", leaving.ID, time.Since(acknowledged).Seconds())
	calm := time.Now().Add(stableWindow + 100*time.Millisecond)
	time.Sleep(time.Until(calm))
	w.Record.Sayf("all machines are in touch")
	answers := w.Requests("GET", host, "/lohu930/2f", "after", 20*time.Millisecond, 5*time.Second, 2500*time.Millisecond, w.Machines)
	w.Record.Sayf("after: %d of %d requests are served", countOK(answers), len(answers))
	late := 0
	var first, last time.Time
	for _, r := range leaving.Runs() {
		if r.At.After(calm) && r.At.After(acknowledged.Add(drainBound)) {
			if late == 0 {
				first = r.At
			}
			late, last = late+1, r.At
		}
	}
	leaving.Close()
	w.Record.Sayf("%d requests reached the server that has left, later than Drain after the acknowledgement", late)
	if late == 0 {
		return held
	}
	w.Record.Sayf("the first %.1f s, the last %.1f s after it; the server was there for %.1f s after it", first.Sub(acknowledged).Seconds(), last.Sub(acknowledged).Seconds(), time.Since(acknowledged).Seconds())
	return broken
}

func (w *World) killAll() {
	for _, m := range w.Machines {
		m.Signal(syscall.SIGKILL)
	}
	w.Record.Sayf("all nodes are killed")
	for _, m := range w.Machines {
		m.Kill()
	}
}

func (w *World) startAll() error {
	for _, m := range w.Machines {
		if err := m.Start(); err != nil {
			return err
		}
	}
	w.Record.Sayf("all nodes are started again")
	return nil
}

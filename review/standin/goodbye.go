package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// Bounds of a small deployment, as the sheets of SYSTEM.md give them.
const (
	stableWindow = 3 * time.Second
	drainBound   = 2 * time.Second
	rollback     = 5 * time.Second
	restartDelay = 500 * time.Millisecond
	// goodbyes is how many servers leave at most.
	goodbyes = 3
)

// config returns a configuration with two idempotent routes and another one to the service.
func config(version int, service string) map[string]any {
	rule := func(name, path, kind string) map[string]any {
		return map[string]any{
			"Name": name, "Kind": kind, "TargetLatency": "400ms", "Priority": 2,
			"Match": map[string]any{"PathPrefix": path}, "Action": map[string]any{"Service": service, "Timeout": "1200ms", "MaxAttempts": 2},
		}
	}
	return map[string]any{
		"Version":   version,
		"Limits":    map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
		"Listeners": []any{map[string]any{"Hostname": "shop.example", "Rules": []any{rule("r-browse", "/browse/", "idempotent"), rule("r-stock", "/stock/", "idempotent"), rule("r-order", "/order/", "non_idempotent")}}},
		"Clusters":  []any{map[string]any{"Name": service, "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": false}},
	}
}

// KillAll kills the processes of all machines at the same moment, and lets the platform start
// them again after a short delay.
func (w *World) KillAll(machines []*Machine) {
	w.Record.Sayf("all %d processes of the system are killed", len(machines))
	for _, m := range machines {
		m.Signal(syscall.SIGKILL)
	}
	for _, m := range machines {
		m.Kill()
	}
	time.Sleep(restartDelay)
	for _, m := range machines {
		if err := m.Start(); err != nil {
			w.Record.Sayf("restart of %s: %v", m.Name, err)
		}
	}
	w.Record.Sayf("all processes are started again")
}

// inTouch reports whether the machine's process ran for the whole stable window before a time.
func inTouch(m *Machine, at time.Time) bool { return at.Sub(m.Started) >= stableWindow }

// goodbye lets a server say that it leaves, without a draining report before, and kills all
// processes of the system right after that was acknowledged. If the rule holds, it does so with
// the next server, up to three times.
func goodbye(w *World) int {
	// With VARIANT=one, only the process beside the leaving server is killed, in a fleet of ten.
	one, count := os.Getenv("VARIANT") == "one", 4
	if one {
		count = 10
	}
	services := make([]string, count)
	for i := range services {
		services[i] = "storefront"
	}
	if err := w.Begin(config(7, "storefront"), services, len(services), 40*time.Millisecond); err != nil {
		w.Record.Sayf("%v", err)
		return cannotRun
	}
	defer w.CloseServers()
	time.Sleep(9 * time.Second)
	result := held
	for round := 1; round <= goodbyes && result == held; round++ {
		result = w.goodbyeOf(count-round, one)
	}
	return result
}

// goodbyeOf plays the goodbye of one server and judges it.
func (w *World) goodbyeOf(place int, one bool) int {
	leaving, beside := w.Servers[place], w.Machines[place]
	sent := make(chan []Answer)
	go func() {
		sent <- w.Requests("GET", "shop.example", "/browse/list", fmt.Sprintf("g%d-", place), 20*time.Millisecond, 18*time.Second, 2500*time.Millisecond, w.Machines)
	}()
	time.Sleep(4 * time.Second)
	acked, err := leaving.Deregister()
	if err != nil {
		w.Record.Sayf("the goodbye is not acknowledged: %v", err)
		return cannotRun
	}
	w.Record.Sayf("%s beside %s said that it leaves, and that is acknowledged; it serves on", leaving.ID, beside.Name)
	if w.Trouble && one {
		w.KillAll([]*Machine{beside})
	} else if w.Trouble {
		w.KillAll(w.Machines)
	}
	answers := <-sent
	if got := countOK(answers); got < len(answers)/2 {
		w.Record.Sayf("only %d of %d requests were served", got, len(answers))
		return cannotRun
	}
	return w.judgeDrain(leaving, beside, answers, acked)
}

// judgeDrain checks which requests reached the server later than Drain after the acknowledgement.
func (w *World) judgeDrain(leaving *Server, beside *Machine, answers []Answer, acked time.Time) int {
	at := make(map[string]time.Time)
	from := make(map[string]*Machine)
	for _, a := range answers {
		at[a.ID], from[a.ID] = a.Sent, a.From
	}
	late, lateInTouch := 0, 0
	var latest time.Time
	for _, r := range leaving.Runs() {
		if r.At.Sub(acked) <= drainBound || at[r.RequestID].Before(acked) {
			continue
		}
		late++
		if inTouch(beside, at[r.RequestID]) && inTouch(from[r.RequestID], at[r.RequestID]) {
			lateInTouch++
			latest = r.At
			if lateInTouch == 1 {
				w.Record.Sayf("the first: %s, %.3f s after the acknowledgement", r.RequestID, r.At.Sub(acked).Seconds())
			}
		}
	}
	w.Record.Sayf("%d of %d requests were served", countOK(answers), len(answers))
	w.Record.Sayf("requests that reached the leaving server later than Drain (%v) after the acknowledgement: %d; of these, taken and sent on by machines in touch: %d", drainBound, late, lateInTouch)
	if lateInTouch > 0 {
		w.Record.Sayf("the last one %.3f s after the acknowledgement; DRAIN is broken", latest.Sub(acked).Seconds())
		return broken
	}
	w.Record.Sayf("DRAIN held")
	return held
}

package main

import (
	"syscall"
	"time"
)

// Figures of the sheet of circulos-quito.
const (
	stableWindow = 3 * time.Second
	drainBound   = 2 * time.Second
)

// forgotten is the case of a server whose leaving was acknowledged while the store was silent, and
// is forgotten when all processes of the system are killed at the same moment.
func forgotten(w *World) int {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"Name": name, "Kind": "idempotent", "TargetLatency": "400ms", "Priority": 2,
			"Match": map[string]any{"PathPrefix": prefix}, "Action": map[string]any{"Service": "huvo11a", "Timeout": "1200ms", "MaxAttempts": 2},
		}
	}
	config := map[string]any{
		"Version":   7,
		"Limits":    map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
		"Listeners": []any{map[string]any{"Hostname": "jepu9.example", "Rules": []any{route("r-n2ctnfz", "/lepu270/")}}},
		"Clusters":  []any{map[string]any{"Name": "huvo11a", "HealthPath": "/health", "MaxConnections": 120}, map[string]any{"Name": "kafi81c", "HealthPath": "/health", "MaxConnections": 120}},
	}
	services := []string{"huvo11a", "huvo11a", "huvo11a", "kafi81c"}
	if err := w.Begin(config, services, len(services), 20*time.Millisecond); err != nil {
		w.Record.Sayf("cannot begin: %v", err)
		return cannotRun
	}
	all := make(chan []Answer, 1)
	go func() {
		all <- w.Requests("GET", "jepu9.example", "/lepu270/2f", "9c41d07b", 25*time.Millisecond, 27*time.Second, 2500*time.Millisecond, w.Machines)
	}()
	// Eight seconds let every node write its entry and the traffic settle.
	time.Sleep(8 * time.Second)
	began := time.Now()
	if w.Trouble {
		w.Record.Sayf("the store falls silent")
		w.Store.SetDown(true)
	}
	time.Sleep(1500 * time.Millisecond)
	leaving := w.Servers[1]
	acknowledged, err := leaving.Deregister()
	if err != nil {
		w.Record.Sayf("the server that leaves gets no acknowledgement: %v", err)
		return cannotRun
	}
	w.Record.Sayf("server %s has deregistered and has its acknowledgement; it serves on for 12 s", leaving.ID)
	time.Sleep(1500 * time.Millisecond)
	inTouch := time.Now()
	if w.Trouble {
		w.Record.Sayf("the processes of all machines are killed")
		for _, m := range w.Machines {
			m.Signal(syscall.SIGKILL)
		}
		for _, m := range w.Machines {
			m.Kill()
		}
		time.Sleep(800 * time.Millisecond)
		for _, m := range w.Machines {
			if err := m.Start(); err != nil {
				w.Record.Sayf("cannot start again: %v", err)
				return cannotRun
			}
		}
		w.Record.Sayf("the processes have started again")
		time.Sleep(200 * time.Millisecond)
		w.Store.SetDown(false)
		inTouch = time.Now()
		w.Record.Sayf("the store answers again, %.1f s after it fell silent", time.Since(began).Seconds())
	}
	inTouch = inTouch.Add(stableWindow)
	time.Sleep(time.Until(acknowledged.Add(12 * time.Second)))
	leaving.Close()
	w.Record.Sayf("server %s exits", leaving.ID)
	sent := make(map[string]Answer)
	answers := <-all
	for _, a := range answers {
		sent[a.ID] = a
	}
	late := 0
	for _, r := range leaving.Runs() {
		a, ok := sent[r.RequestID]
		if !ok || r.At.Before(acknowledged.Add(drainBound)) || r.At.Before(inTouch) || a.Sent.Before(inTouch) {
			continue
		}
		late++
		if late <= 20 {
			w.Record.Printf("late: request %s, taken by %s, runs at %s %.3f s after the acknowledgement and %.3f s after all machines came in touch",
				r.RequestID, a.From.Name, leaving.ID, r.At.Sub(acknowledged).Seconds(), r.At.Sub(inTouch).Seconds())
		}
	}
	w.Record.Sayf("%d of %d requests were served", countOK(answers), len(answers))
	w.Record.Sayf("requests that reached the server that left, later than Drain and by machines in touch: %d", late)
	if served := countOK(answers); served < len(answers)/4 {
		w.Record.Sayf("too few requests were served to tell")
		return cannotRun
	}
	if late > 0 {
		return broken
	}
	return held
}

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

// forgotten is the case of a server whose leaving was acknowledged, and that the system uses again
// after all its processes were killed: at once after the acknowledgement, and then 1.5 s after one
// that was given while the store was silent.
func forgotten(w *World) int {
	route := map[string]any{
		"Name": "r-n2ctnfz", "Kind": "idempotent", "TargetLatency": "400ms", "Priority": 2,
		"Match": map[string]any{"PathPrefix": "/lepu270/"}, "Action": map[string]any{"Service": "huvo11a", "Timeout": "1200ms", "MaxAttempts": 2},
	}
	config := map[string]any{
		"Version":   7,
		"Limits":    map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
		"Listeners": []any{map[string]any{"Hostname": "jepu9.example", "Rules": []any{route}}},
		"Clusters":  []any{map[string]any{"Name": "huvo11a", "HealthPath": "/health", "MaxConnections": 120}, map[string]any{"Name": "kafi81c", "HealthPath": "/health", "MaxConnections": 120}},
	}
	services := []string{"huvo11a", "huvo11a", "huvo11a", "huvo11a", "kafi81c"}
	if err := w.Begin(config, services, len(services), 20*time.Millisecond); err != nil {
		w.Record.Sayf("cannot begin: %v", err)
		return cannotRun
	}
	result := held
	for _, p := range []struct {
		prefix   string
		leaving  *Server
		silently bool
	}{{"9c41d07a", w.Servers[1], false}, {"9c41d07b", w.Servers[2], true}} {
		switch w.leaveAndForget(p.prefix, p.leaving, p.silently) {
		case broken:
			result = broken
		case cannotRun:
			return cannotRun
		}
	}
	return result
}

// leaveAndForget lets a server leave while requests are sent, kills all processes once it has its
// acknowledgement, and reports what the server got later than it should.
func (w *World) leaveAndForget(prefix string, leaving *Server, storeIsSilent bool) int {
	all := make(chan []Answer, 1)
	go func() {
		all <- w.Requests("GET", "jepu9.example", "/lepu270/2f", prefix, 25*time.Millisecond, 26*time.Second, 2500*time.Millisecond, w.Machines)
	}()
	// Eight seconds let every node write its entry and the traffic settle.
	time.Sleep(8 * time.Second)
	if w.Trouble && storeIsSilent {
		w.Record.Sayf("the store falls silent")
		w.Store.SetDown(true)
		time.Sleep(1500 * time.Millisecond)
	}
	acknowledged, err := leaving.Deregister()
	if err != nil {
		w.Record.Sayf("the server that leaves gets no acknowledgement: %v", err)
		return cannotRun
	}
	if w.Trouble && storeIsSilent {
		time.Sleep(1500 * time.Millisecond)
	}
	inTouch := time.Now()
	if w.Trouble {
		for _, m := range w.Machines {
			m.Signal(syscall.SIGKILL)
		}
		w.Record.Sayf("server %s has deregistered and has its acknowledgement; %.1f ms later the processes of all machines are killed", leaving.ID, float64(time.Since(acknowledged).Microseconds())/1000)
		if inTouch, err = w.startAgain(storeIsSilent); err != nil {
			w.Record.Sayf("cannot start again: %v", err)
			return cannotRun
		}
	} else {
		w.Record.Sayf("server %s has deregistered and has its acknowledgement", leaving.ID)
	}
	inTouch = inTouch.Add(stableWindow)
	time.Sleep(time.Until(acknowledged.Add(12 * time.Second)))
	leaving.Close()
	w.Record.Sayf("server %s exits, 12 s after the acknowledgement", leaving.ID)
	return w.countLate(<-all, leaving, acknowledged, inTouch)
}

// startAgain starts the killed processes and ends the store's silence. It returns when the last of
// the two is over.
func (w *World) startAgain(storeIsSilent bool) (time.Time, error) {
	for _, m := range w.Machines {
		m.Kill()
	}
	time.Sleep(800 * time.Millisecond)
	for _, m := range w.Machines {
		if err := m.Start(); err != nil {
			return time.Time{}, err
		}
	}
	w.Record.Sayf("the processes have started again")
	if storeIsSilent {
		time.Sleep(200 * time.Millisecond)
		w.Store.SetDown(false)
		w.Record.Sayf("the store answers again")
	}
	return time.Now(), nil
}

// countLate counts the requests that reached the server later than Drain after the acknowledgement,
// and that were sent and run once all machines were in touch.
func (w *World) countLate(answers []Answer, leaving *Server, acknowledged, inTouch time.Time) int {
	sent := make(map[string]Answer)
	for _, a := range answers {
		sent[a.ID] = a
	}
	late := 0
	for _, r := range leaving.Runs() {
		a, ok := sent[r.RequestID]
		if !ok || r.At.Before(acknowledged.Add(drainBound)) || r.At.Before(inTouch) || a.Sent.Before(inTouch) {
			continue
		}
		if late++; late <= 20 {
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

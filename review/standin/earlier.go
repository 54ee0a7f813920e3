package main

import (
	"syscall"
	"time"
)

const (
	rollback     = 5 * time.Second
	restartDelay = 500 * time.Millisecond
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

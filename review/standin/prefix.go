package main

import (
	"strings"
	"time"
)

// configApply is the bound of the sheet of circulos-quito.
const configApply = 2 * time.Second

// prefix is the case of a configuration that the store accepted and that no node applies, since one
// of its path prefixes has an escaped letter.
func prefix(w *World) int {
	// The path of a page that is named after a town with a letter beyond ASCII (RFC 3986, section 2.5).
	const host = "hulo84.example"
	added := "/parroquia-alaus%C3%AD/"
	if !w.Trouble {
		added = "/parroquia-alausi/"
	}
	rule := func(name, match, service string) any {
		return map[string]any{
			"Name": name, "Kind": "idempotent", "TargetLatency": "400ms", "Priority": 2,
			"Match": map[string]any{"PathPrefix": match}, "Action": map[string]any{"Service": service, "Timeout": "1200ms", "MaxAttempts": 2},
		}
	}
	config := func(version int, service string, more ...any) any {
		listeners := append([]any{map[string]any{"Hostname": "jepu9.example", "Rules": []any{rule("r-n2ctnfz", "/lepu270/", service)}}}, more...)
		return map[string]any{
			"Version":   version,
			"Limits":    map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
			"Listeners": listeners,
			"Clusters":  []any{map[string]any{"Name": "huvo11a", "HealthPath": "/health", "MaxConnections": 120}, map[string]any{"Name": "kafi81c", "HealthPath": "/health", "MaxConnections": 120}},
		}
	}
	services := []string{"huvo11a", "huvo11a", "kafi81c", "kafi81c"}
	if err := w.Begin(config(7, "huvo11a"), services, len(services), 20*time.Millisecond); err != nil {
		w.Record.Sayf("cannot begin: %v", err)
		return cannotRun
	}
	send := func(host, path, id string, length time.Duration) []Answer {
		return w.Requests("GET", host, path, id, 50*time.Millisecond, length, 2500*time.Millisecond, w.Machines)
	}
	before := send("jepu9.example", "/lepu270/2f", "9c41d07a", 4*time.Second)
	if countOK(before) < len(before)*9/10 {
		w.Record.Sayf("only %d of %d requests are served under the first version", countOK(before), len(before))
		return cannotRun
	}
	// Version 9 moves the route to another service and adds another one.
	w.Store.Put("op/config", config(9, "kafi81c", map[string]any{"Hostname": host, "Rules": []any{rule("r-s989anu", added, "huvo11a")}}))
	acknowledged := time.Now()
	w.Record.Sayf("the store has accepted version 9, which moves a route and adds one with the prefix %s", added)
	time.Sleep(configApply + stableWindow)
	moved := send("jepu9.example", "/lepu270/2f", "9c41d07b", 5*time.Second)
	fresh := send(host, added+"2f", "9c41d07c", 5*time.Second)
	old, refused := 0, 0
	for _, s := range w.Servers {
		for _, r := range s.Runs() {
			if strings.HasPrefix(r.RequestID, "9c41d07b") && s.Service == "huvo11a" {
				old++
			}
		}
	}
	for _, a := range fresh {
		if a.Status == 404 {
			refused++
		}
	}
	w.Record.Sayf("sent from %.1f s after the acknowledgement on:", (configApply + stableWindow).Seconds())
	w.Record.Sayf("requests on the moved route: %d, run by the service that it has left: %d", len(moved), old)
	w.Record.Sayf("requests on the added route: %d, refused with 404: %d", len(fresh), refused)
	w.Record.Printf("the checks ended %.1f s after the acknowledgement", time.Since(acknowledged).Seconds())
	if old > 0 || refused > 0 {
		return broken
	}
	if countOK(moved) < len(moved)/2 || countOK(fresh) < len(fresh)/2 {
		w.Record.Sayf("too few requests were served to tell")
		return cannotRun
	}
	return held
}

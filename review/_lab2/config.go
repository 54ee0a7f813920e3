package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	stableWindow = 3 * time.Second
	configApply  = 2 * time.Second
	maxStretch   = 5 * time.Second
	grace        = 6 * time.Second
	slowAnswer   = 240 * time.Millisecond // 60 times 4 ms
	usualAnswer  = 4 * time.Millisecond
	slowFor      = 4500 * time.Millisecond
	stormFor     = 4 * time.Second
	stormGap     = 330 * time.Millisecond
	rollGap      = 1440 * time.Millisecond
	staleBy      = 2 * time.Second
)

// kauriBounds are the bounds that the site file names.
func kauriBounds() map[string]string {
	return map[string]string{"Grace": "6s", "RetryBudgetRatio": "0.2", "BudgetSlack": "56", "Drain": "2000ms", "ConfigApply": "2000ms"}
}

// config returns a version of the configuration. Odd versions lead the route /moved/ to the first
// service, even ones to the second. Each version has a route /only-VERSION/ that no other has.
func config(number int) ([]byte, string) {
	services := []string{"storefront", "woodshed"}
	to := services[(number+1)%2]
	rule := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"Name": name, "Kind": "idempotent", "TargetLatency": "400ms", "Priority": 2, "Match": map[string]any{"PathPrefix": prefix},
			"Action": map[string]any{"Service": service, "Timeout": "1200ms", "MaxAttempts": 2},
		}
	}
	rules := []any{rule("r-moved", "/moved/", to), rule("r-only", fmt.Sprintf("/only-%d/", number), "storefront")}
	for i := range 20 {
		rules = append(rules, rule(fmt.Sprintf("r-%d", i), fmt.Sprintf("/path%d/", i), services[i%2]))
	}
	cluster := func(name string) map[string]any {
		return map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": false}
	}
	data, _ := json.Marshal(map[string]any{
		"Version":   number,
		"Limits":    map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
		"Listeners": []any{map[string]any{"Hostname": "shop.example", "Rules": rules}},
		"Clusters":  []any{cluster("storefront"), cluster("woodshed")},
	})
	return data, to
}

type kauriFleet struct {
	*Fleet
	runs sync.Map // request id -> service that ran it
}

// newKauri starts the machines of the site kauri-tonewood: ten nodes in four zones, six servers of one
// service and four of the other.
func newKauri(root string, rec *Recorder, store *Store) *kauriFleet {
	f := &kauriFleet{Fleet: newFleet(root, store, rec, kauriBounds())}
	f.pickPorts(10)
	zones := []string{"nz-south-a", "nz-south-a", "nz-south-b", "nz-south-b", "nz-south-c", "nz-south-d", "nz-south-a", "nz-south-b", "nz-south-c", "nz-south-d"}
	count := map[string]int{}
	for i, z := range zones {
		service := "storefront"
		if i >= 6 {
			service = "woodshed"
		}
		count[z]++
		f.Add(fmt.Sprintf("sidecar-%s-%d", z, count[z]), z, service, "v1")
	}
	return f
}

func runConfig(root string, rec *Recorder, trouble bool) {
	store := newStore(staleBy)
	f := newKauri(root, rec, store)
	store.onCall = func(kind string, r *http.Request) {
		if what := r.FormValue("PathPrefix") + r.FormValue("Key"); what == "op/" || strings.Contains(what, "document") {
			rec.Log("store: %s %s stale=%s", kind, what, r.FormValue("Serializable"))
		}
	}
	store.onPut = func(key string, rev uint64) {
		if strings.Contains(key, "document") {
			rec.Log("store: the nodes write %s at revision %d", key, rev)
		}
	}
	type put struct {
		number int
		to     string
		acked  time.Time
	}
	var newest put
	number := 1
	commit := func() {
		data, to := config(number)
		_, acked := store.Put("op/config", data)
		newest = put{number, to, acked}
		rec.Log("operator: version %d acknowledged; /moved/ leads to %s", number, to)
		number++
	}
	commit()
	for i, m := range f.machines {
		m.StartServer(fmt.Sprintf("i-%d-%x", i, time.Now().UnixNano()%0xffffff), func(s *Server, w http.ResponseWriter, r *http.Request) bool {
			f.runs.Store(r.Header.Get("Kumquatgw-Request-Id"), s.m.service)
			time.Sleep(20 * time.Millisecond)
			return false
		})
		m.StartNode()
	}
	if !f.AwaitReady(20 * time.Second) {
		fail("the nodes are not ready")
	}
	time.Sleep(3 * time.Second)
	client := &http.Client{Timeout: 2500 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 5 * time.Second}}
	sent := 0
	// request sends one request and returns the status and the service that ran it.
	request := func(m *Machine, path string) (int, string) {
		sent++
		id := fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, sent)
		r, _ := http.NewRequest("GET", "http://"+m.Entry()+path, nil)
		r.Host = "shop.example"
		r.Header.Set("Kumquatgw-Request-Id", id)
		r.Header.Set("Kumquatgw-Request-Timeout-Ms", "2500")
		resp, err := client.Do(r)
		if err != nil {
			rec.Log("client at %s: %s %s: %v", m.name, id, path, err)
			return 0, ""
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		ran, _ := f.runs.Load(id)
		service, _ := ran.(string)
		rec.Log("client at %s: %s %s: %d, run by %q", m.name, id, path, resp.StatusCode, service)
		return resp.StatusCode, service
	}
	end := time.Now().Add(60 * time.Second)
	order := []int{0, 2, 1, 3, 6, 7, 4, 5, 8, 9}
	turn, broken, checked := 0, 0, 0
	for round := 1; time.Now().Before(end) && broken == 0; round++ {
		rec.Log("round %d", round)
		// Planned work: six of the ten machines are stopped and started in turn.
		var rolling sync.WaitGroup
		rolling.Add(1)
		go func() {
			defer rolling.Done()
			for range 6 {
				m := f.machines[order[turn%len(order)]]
				turn++
				rolling.Add(1)
				go func() {
					defer rolling.Done()
					m.Restart(grace)
				}()
				time.Sleep(rollGap)
			}
		}()
		time.Sleep(7 * time.Second)
		// The disruption: the platform's store is slow.
		slowEnd := time.Now().Add(slowFor)
		if trouble {
			store.SetLatency(slowAnswer)
			rec.Log("the store is slow")
		}
		time.AfterFunc(slowFor, func() {
			store.SetLatency(usualAnswer)
			rec.Log("the store is as usual")
		})
		// Planned work: configurations come in quick succession. The series ends once what the nodes
		// have written to the store is older than the newest version, or after its whole time.
		for begun := time.Now(); time.Since(begun) < stormFor; {
			next := time.Now().Add(stormGap)
			commit()
			time.Sleep(time.Until(next))
			if time.Since(begun) > 1800*time.Millisecond && recorded(store) == newest.number-1 && number > 2 {
				_, recRev := store.Value("kumquatgw-document")
				if _, docRev := store.Value("op/config"); recRev > docRev {
					rec.Log("the series ends; the nodes have recorded version %d after version %d was written", recorded(store), newest.number)
					break
				}
			}
		}
		rolling.Wait()
		// All must hold again from here on, with every allowance: nobody is disrupted for StableWindow, and
		// ConfigApply, stretched by MaxStretch, has passed since the acknowledgement.
		if !f.AwaitReady(10 * time.Second) {
			rec.Log("not all nodes are ready")
		}
		from := newest.acked.Add(configApply + maxStretch)
		for _, m := range f.machines {
			if t := m.Touched().Add(stableWindow); t.After(from) {
				from = t
			}
		}
		if t := slowEnd.Add(stableWindow); t.After(from) {
			from = t
		}
		time.Sleep(time.Until(from))
		rec.Log("check of version %d: /moved/ must be run by %s", newest.number, newest.to)
		probe := func() {
			for _, m := range f.machines {
				checked += 2
				status, service := request(m, "/moved/x")
				if status/100 == 2 && service != newest.to {
					broken++
					rec.Log("BROKEN: sent %.1f s after the acknowledgement of version %d, and run by %s", time.Since(newest.acked).Seconds(), newest.number, service)
				}
				path := fmt.Sprintf("/only-%d/x", newest.number)
				if status, _ := request(m, path); status == 404 {
					broken++
					rec.Log("BROKEN: sent %.1f s after the acknowledgement of version %d, and refused with 404 though the route is there", time.Since(newest.acked).Seconds(), newest.number)
				}
			}
		}
		probe()
		for i := 0; broken > 0 && i < 10; i++ {
			time.Sleep(time.Second)
			probe()
		}
	}
	rec.Log("%d requests checked, %d of them handled as only an older version allows", checked, broken)
	fmt.Printf("%d requests checked, %d of them handled as only an older version allows\n", checked, broken)
	if broken > 0 {
		finish(1)
	}
	finish(0)
}

// recorded returns the number of the version that the nodes have recorded in the store.
func recorded(s *Store) int {
	data, _ := s.Value("kumquatgw-document")
	var d struct{ Version int }
	if len(data) == 0 || json.Unmarshal(data, &d) != nil {
		return 0
	}
	return d.Version
}

package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	drain       = 2 * time.Second
	silentFor   = 4500 * time.Millisecond
	beatLate    = 4 * time.Second
	killAfter   = 1500 * time.Millisecond // after the acknowledgement
	downFor     = 800 * time.Millisecond
	serveOnFor  = 12 * time.Second // after the acknowledgement
	watchedFor  = 14 * time.Second
	requestGap  = 80 * time.Millisecond
	warmUpFor   = 5 * time.Second
	sendAllowed = 2500 * time.Millisecond
)

// runLateBeat lets a server leave while the store is silent, and ends all processes before the store is
// back. One heartbeat of the server, from before it left, arrives late.
func runLateBeat(root string, rec *Recorder, trouble bool) {
	store := newStore(2 * time.Second)
	f := newKauri(root, rec, store)
	data, to := config(1)
	store.Put("op/config", data)
	rec.Log("operator: version 1 acknowledged; /moved/ leads to %s", to)
	type arrival struct {
		id   string
		at   time.Time
		sent time.Time
	}
	var mu sync.Mutex
	var arrivals []arrival
	var sentAt sync.Map
	leaver := f.machines[0]
	for i, m := range f.machines {
		m.StartServer(fmt.Sprintf("i-%d-%x", i, time.Now().UnixNano()%0xffffff), func(s *Server, w http.ResponseWriter, r *http.Request) bool {
			if s.m == leaver {
				id := r.Header.Get("Kumquatgw-Request-Id")
				sent, _ := sentAt.Load(id)
				at, _ := sent.(time.Time)
				mu.Lock()
				arrivals = append(arrivals, arrival{id, time.Now(), at})
				mu.Unlock()
				rec.Log("the server that leaves runs %s", id)
			}
			time.Sleep(time.Duration(60+rand.IntN(120)) * time.Millisecond)
			return false
		})
		m.StartNode()
	}
	if !f.AwaitReady(20 * time.Second) {
		fail("the nodes are not ready")
	}
	var number, answered atomic.Int64
	stop := make(chan struct{})
	for _, m := range f.machines {
		client := &http.Client{Timeout: sendAllowed, Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 5 * time.Second}}
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(requestGap):
				}
				go func() {
					id := fmt.Sprintf("q%08d", number.Add(1))
					r, _ := http.NewRequest("GET", "http://"+m.Entry()+"/moved/x", nil)
					r.Host = "shop.example"
					r.Header.Set("Kumquatgw-Request-Id", id)
					r.Header.Set("Kumquatgw-Request-Timeout-Ms", "2500")
					sentAt.Store(id, time.Now())
					resp, err := client.Do(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					if resp.StatusCode == 200 {
						answered.Add(1)
					}
				}()
			}
		}()
	}
	time.Sleep(warmUpFor)
	mu.Lock()
	before := len(arrivals)
	mu.Unlock()
	if before == 0 {
		fail("the server got no requests before it left")
	}
	began := time.Now()
	if trouble {
		store.Silence(silentFor)
		rec.Log("the store is silent for %v", silentFor)
	}
	// The last heartbeat before the server leaves is on its way for seconds.
	s := leaver.server
	s.beatsOff.Store(true)
	late := fmt.Sprintf(`{"Address":%q,"born":%d,"Info":{"Service":%q,"Version":%q,"Zone":%q,"Slots":6},"Status":{"State":"ready","SeqNo":%d,"ColdLeft":"0ms"}}`,
		s.address, s.born, leaver.service, leaver.ver, leaver.zone, s.seq.Add(1))
	time.AfterFunc(beatLate, func() {
		c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := c.Post(fmt.Sprintf("http://%s/-/rpc?call=instances.heartbeat&of=%s", leaver.Control(), s.id), "application/json", bytes.NewBufferString(late))
		rec.Log("a heartbeat from before the server left arrives, %v late (%v)", beatLate, err)
		if err == nil {
			_ = resp.Body.Close()
		}
	})
	time.Sleep(500 * time.Millisecond)
	rec.Log("server %s deregisters", s.id)
	if !s.post("instances.deregister", fmt.Sprintf(`{"born":%d}`, s.born)) {
		fail("the deregistration was not acknowledged")
	}
	acked := time.Now()
	rec.Log("acknowledged after %v", acked.Sub(began.Add(500*time.Millisecond)).Round(time.Millisecond))
	s.state.Store("gone")
	time.AfterFunc(serveOnFor, func() {
		rec.Log("server %s ends", s.id)
		_ = s.http.Close()
	})
	calm := acked
	if trouble {
		time.Sleep(killAfter)
		rec.Log("all processes are killed")
		var group sync.WaitGroup
		for _, m := range f.machines {
			group.Add(1)
			go func() {
				defer group.Done()
				m.KillAndRestart(downFor)
			}()
		}
		group.Wait()
		calm = began.Add(silentFor)
		for _, m := range f.machines {
			if t := m.Touched(); t.After(calm) {
				calm = t
			}
		}
		calm = calm.Add(stableWindow)
	}
	from := acked.Add(drain)
	time.Sleep(time.Until(acked.Add(watchedFor)))
	close(stop)
	time.Sleep(200 * time.Millisecond)
	broken, excused := 0, 0
	mu.Lock()
	for _, a := range arrivals {
		switch {
		case a.at.Before(from):
		case a.sent.Before(calm):
			excused++
		default:
			broken++
			rec.Log("BROKEN: %s reached the server %.2f s after the acknowledgement, all machines in touch", a.id, a.at.Sub(acked).Seconds())
		}
	}
	mu.Unlock()
	text := fmt.Sprintf("%d requests sent, %d answered with 200; %d reached the server later than Drain after its acknowledgement, and %d more before all machines were in touch again", number.Load(), answered.Load(), broken, excused)
	rec.Log("%s", text)
	fmt.Println(text)
	switch {
	case broken > 0:
		finish(1)
	case answered.Load() == 0:
		fail("no request was answered")
	}
	finish(0)
}

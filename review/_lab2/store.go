package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. Every write is
// linearizable and kept. Reads with Serializable=1 show the state of staleBy ago.
type Store struct {
	mu      sync.Mutex
	rev     uint64
	keys    map[string][]version // every version of a key, oldest first
	leases  map[uint64]*lease
	nextID  uint64
	changed chan struct{}
	latency time.Duration
	staleBy time.Duration
	onPut   func(key string, rev uint64)
	began   time.Time
	address string
	calls   map[string]int
	onCall  func(kind string, r *http.Request)
	events  []event
	silent  time.Time // until when no call is answered or executed
}

type version struct {
	value   []byte
	rev     uint64
	create  uint64
	lease   uint64
	deleted bool
	at      time.Time
}

type event struct {
	key string
	v   version
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type item struct {
	Key        string
	Value      []byte `json:",omitempty"`
	Revision   uint64
	CreateRev  uint64 `json:",omitempty"`
	Lease      uint64
	Deleted    bool   `json:",omitempty"`
	CurrentRev uint64 `json:",omitempty"`
}

func newStore(staleBy time.Duration) *Store {
	s := &Store{rev: 100, keys: map[string][]version{}, leases: map[uint64]*lease{}, nextID: 77000, changed: make(chan struct{}), latency: 4 * time.Millisecond, staleBy: staleBy, began: time.Now(), calls: map[string]int{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("store: %v", err)
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.txn)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(l, s.serve(mux)) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// SetLatency sets how long each answer takes from now on.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// Silence makes the store neither answer nor execute any call for a time.
func (s *Store) Silence(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = time.Now().Add(d)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.silent)
}

// serve answers calls unless the store is silent.
func (s *Store) serve(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilent() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// pause waits for half of an answer's time: the call is processed in the middle of it.
func (s *Store) pause() {
	s.mu.Lock()
	d := s.latency
	s.mu.Unlock()
	time.Sleep(d / 2)
}

func (s *Store) write(key string, value []byte, leaseID uint64, deleted bool) uint64 {
	s.rev++
	v := version{value: value, rev: s.rev, create: s.rev, lease: leaseID, deleted: deleted, at: time.Now()}
	if old, ok := s.last(key); ok {
		v.create = old.create
	}
	s.keys[key] = append(s.keys[key], v)
	s.events = append(s.events, event{key, v})
	close(s.changed)
	s.changed = make(chan struct{})
	if s.onPut != nil && !deleted {
		s.onPut(key, s.rev)
	}
	return s.rev
}

func (s *Store) last(key string) (version, bool) {
	list := s.keys[key]
	if len(list) == 0 || list[len(list)-1].deleted {
		return version{}, false
	}
	return list[len(list)-1], true
}

// Put is a write of the operator. It returns after the store's answer.
func (s *Store) Put(key string, value []byte) (uint64, time.Time) {
	s.pause()
	s.mu.Lock()
	rev := s.write(key, value, 0, false)
	s.mu.Unlock()
	s.pause()
	return rev, time.Now()
}

// Value returns the current value of a key.
func (s *Store) Value(key string) ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, _ := s.last(key)
	return v.value, v.rev
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if s.onCall != nil {
		s.onCall("key", r)
	}
	s.pause()
	key := r.FormValue("Key")
	s.mu.Lock()
	v, ok := s.last(key)
	if r.FormValue("Serializable") == "1" {
		v, ok = s.asOf(key, time.Now().Add(-s.staleBy))
	}
	rev := s.rev
	s.mu.Unlock()
	s.pause()
	if !ok {
		w.WriteHeader(404)
		return
	}
	reply(w, item{Key: key, Value: v.value, Revision: v.rev, CreateRev: v.create, Lease: v.lease, CurrentRev: rev})
}

func (s *Store) asOf(key string, t time.Time) (version, bool) {
	list := s.keys[key]
	for i := len(list) - 1; i >= 0; i-- {
		if !list[i].at.After(t) {
			return list[i], !list[i].deleted
		}
	}
	return version{}, false
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	if s.onCall != nil {
		s.onCall("range", r)
	}
	s.pause()
	prefix, after := r.FormValue("PathPrefix"), r.FormValue("after")
	stale := r.FormValue("Serializable") == "1"
	s.mu.Lock()
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) && k > after {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	items, size, more := []item{}, 0, false
	for _, k := range names {
		v, ok := s.last(k)
		if stale {
			v, ok = s.asOf(k, time.Now().Add(-s.staleBy))
		}
		if !ok {
			continue
		}
		if len(items) == 500 || size > 1<<20 {
			more = true
			break
		}
		size += len(v.value)
		items = append(items, item{Key: k, Value: v.value, Revision: v.rev, CreateRev: v.create, Lease: v.lease})
	}
	rev := s.rev
	s.mu.Unlock()
	s.pause()
	reply(w, map[string]any{"items": items, "MorePages": more, "CurrentRev": rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("PathPrefix")
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	ms, _ := strconv.Atoi(r.FormValue("WaitMs"))
	timer := time.NewTimer(time.Duration(min(ms, 30000)) * time.Millisecond)
	defer timer.Stop()
	s.pause()
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.v.rev > after && strings.HasPrefix(e.key, prefix) {
				events = append(events, item{Key: e.key, Value: e.v.value, Revision: e.v.rev, CreateRev: e.v.create, Lease: e.v.lease, Deleted: e.v.deleted})
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if s.isSilent() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			s.pause()
			reply(w, map[string]any{"events": events, "CurrentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": events, "CurrentRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRevision []struct {
			Key      string
			Revision uint64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Deletes []string
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(400)
		return
	}
	s.pause()
	status, body := s.apply(func() (int, any) {
		conflict, items := false, []item{}
		for _, e := range t.ExpectedRevision {
			v, ok := s.last(e.Key)
			if v.rev != e.Revision {
				conflict = true
			}
			if ok {
				items = append(items, item{Key: e.Key, Value: v.value, Revision: v.rev, CreateRev: v.create, Lease: v.lease})
			}
		}
		if conflict {
			return 412, map[string]any{"items": items, "CurrentRev": s.rev}
		}
		for _, p := range t.Puts {
			if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
				return 403, nil
			}
			if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
				return 404, nil
			}
		}
		for _, p := range t.Puts {
			s.write(p.Key, p.Value, p.Lease, false)
		}
		for _, k := range t.Deletes {
			if _, ok := s.last(k); ok {
				s.write(k, nil, 0, true)
			}
		}
		return 200, map[string]any{"Revision": s.rev}
	})
	s.pause()
	if body == nil {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) apply(f func() (int, any)) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f()
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct{ Ttl string }
	_ = json.NewDecoder(r.Body).Decode(&q)
	ttl, err := time.ParseDuration(q.Ttl)
	if err != nil || ttl < time.Second || ttl > 10*time.Minute {
		w.WriteHeader(400)
		return
	}
	s.pause()
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	s.pause()
	reply(w, map[string]any{"Lease": id, "Ttl": q.Ttl})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.pause()
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	s.pause()
	if !ok {
		w.WriteHeader(404)
		return
	}
	reply(w, map[string]any{"Ttl": l.ttl.String()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	if l, ok := s.leases[id]; ok {
		l.expires = time.Now()
	}
	s.mu.Unlock()
	s.expire()
	reply(w, map[string]any{})
}

func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Before(s.silent) {
		// Leases pause while the store is down.
		for _, l := range s.leases {
			l.expires = l.expires.Add(50 * time.Millisecond)
		}
		return
	}
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for k := range s.keys {
			if v, ok := s.last(k); ok && v.lease == id {
				s.write(k, nil, 0, true)
			}
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a small stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	events   []Event
	leases   map[uint64]*lease
	changed  chan struct{}
	// down is open while the store is down, and closed when it is back; nil while it is up.
	down chan struct{}
	// silentFor reports whether the store leaves a caller without an answer.
	silentFor func(ip string) bool
	// onWrite is called with each key that is written.
	onWrite func(key string, deleted bool)
}

// Item is one entry of the store.
type Item struct {
	Key       string
	Value     []byte
	Revision  uint64
	CreateRev uint64
	Lease     uint64
}

// Event is one change of an entry.
type Event struct {
	Item
	Deleted bool `json:",omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{revision: 100, items: map[string]Item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	return s
}

// Serve serves the store on the listener.
func (s *Store) Serve(l net.Listener) { go func() { _ = http.Serve(l, s) }() }

// SetDown makes the store silent, or answer again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case down && s.down == nil:
		s.down = make(chan struct{})
	case !down && s.down != nil:
		close(s.down)
		s.down = nil
	}
}

// Put writes an entry for the operator.
func (s *Store) Put(key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, data, 0)
	s.notify()
	return s.revision
}

// Get returns an entry's value.
func (s *Store) Get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i.Value, ok
}

// Keys returns the keys with a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			list = append(list, k)
		}
	}
	sort.Strings(list)
	return list
}

func (s *Store) put(key string, value []byte, leaseID uint64) {
	old, ok := s.items[key]
	i := Item{Key: key, Value: value, Revision: s.revision, CreateRev: s.revision, Lease: leaseID}
	if ok {
		i.CreateRev = old.CreateRev
	}
	s.items[key] = i
	s.events = append(s.events, Event{Item: i})
	if s.onWrite != nil {
		s.onWrite(key, false)
	}
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, Event{Item: Item{Key: key, Revision: s.revision}, Deleted: true})
	if s.onWrite != nil {
		s.onWrite(key, true)
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down != nil {
		// Leases pause while the store is down.
		for _, l := range s.leases {
			l.ends = l.ends.Add(50 * time.Millisecond)
		}
		return
	}
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	if s.silent(r) {
		panic(http.ErrAbortHandler)
	}
	path := strings.TrimPrefix(r.URL.Path, "/-/")
	switch {
	case path == "kv-key":
		s.serveKey(w, r)
	case path == "kv-range":
		s.serveRange(w, r)
	case path == "kv-watch":
		s.serveWatch(w, r)
	case path == "kv-txn":
		s.serveTxn(w, r)
	case path == "kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "kv-keep/"))
	case strings.HasPrefix(path, "kv-lease-end/"):
		s.serveEnd(w, strings.TrimPrefix(path, "kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// silent waits while the store is down and then reports true: such a call is not carried out
// and its connection ends without an answer.
func (s *Store) silent(r *http.Request) bool {
	s.mu.Lock()
	down, silentFor := s.down, s.silentFor
	s.mu.Unlock()
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	if silentFor != nil && silentFor(host) {
		<-r.Context().Done()
		return true
	}
	if down == nil {
		return false
	}
	select {
	case <-down:
	case <-r.Context().Done():
	}
	return true
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("Key")]
	rev := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"CurrentRev": rev})
		return
	}
	answer(w, http.StatusOK, struct {
		Item
		CurrentRev uint64
	}{i, rev})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	list := []Item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, q.Get("PathPrefix")) && k > q.Get("after") {
			list = append(list, i)
		}
	}
	rev := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > 500
	if more {
		list = list[:500]
	}
	answer(w, http.StatusOK, map[string]any{"items": list, "MorePages": more, "CurrentRev": rev})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		list := []Event{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("PathPrefix")) {
				list = append(list, e)
			}
		}
		rev, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down != nil {
			s.silent(r)
			panic(http.ErrAbortHandler)
		}
		if len(list) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": list, "CurrentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-time.After(20 * time.Millisecond):
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": list, "CurrentRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
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
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, http.StatusForbidden, map[string]any{})
			return
		}
		if _, ok := s.leases[p.Lease]; !ok && p.Lease != 0 {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	current, conflict := []Item{}, false
	for _, e := range t.ExpectedRevision {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		conflict = conflict || i.Revision != e.Revision
	}
	if conflict {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.revision++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Deletes {
		s.remove(k)
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct{ Ttl string }
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl, err := time.ParseDuration(in.Ttl)
	if err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl = min(max(ttl, time.Second), 10*time.Minute)
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"Lease": id, "Ttl": fmt.Sprintf("%dms", ttl.Milliseconds())})
}

func (s *Store) serveKeep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	l, ok := s.leases[n]
	if ok {
		l.ends = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, map[string]any{"Ttl": fmt.Sprintf("%dms", l.ttl.Milliseconds())})
}

func (s *Store) serveEnd(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	_, ok := s.leases[n]
	if ok {
		s.endLease(n)
	}
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, map[string]any{})
}

package kqsoakrun

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoak"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
)

// conditionTimeout bounds a change of what an upstream says of itself; it may be paused.
const conditionTimeout = 10 * time.Second

// limitUpstream makes an upstream name a limit for the fault's duration.
func (s *Soak) limitUpstream(ctx context.Context, n *node, f kqsoak.Fault) error {
	if !s.setCondition(ctx, n, kqupstream.Condition{Limited: true, Limit: f.Limit}) {
		return nil
	}
	sleep(ctx, f.For)
	s.setCondition(ctx, n, kqupstream.Condition{})
	s.logEvent(event{Event: "fault ended", Target: n.name, Fault: &f})
	return nil
}

// leaveQuietly makes an upstream say that it leaves in its answers alone, while it announces
// itself as before, and replaces it after the fault's duration.
func (s *Soak) leaveQuietly(ctx context.Context, n *node, f kqsoak.Fault) error {
	n.upstream.lifecycle.Lock()
	said := s.setCondition(ctx, n, kqupstream.Condition{Leaving: true})
	if said {
		sleep(ctx, f.For)
	}
	n.upstream.lifecycle.Unlock()
	if !said {
		return nil
	}
	return s.replaceUpstream(ctx, n, kqsoak.Fault{Target: f.Target})
}

// setCondition changes what a node's upstream says of itself, and reports whether it did: the
// upstream may have ended or be paused.
func (s *Soak) setCondition(ctx context.Context, n *node, c kqupstream.Condition) bool {
	ctx, cancel := context.WithTimeout(ctx, conditionTimeout)
	defer cancel()
	n.upstream.mu.Lock()
	address := n.upstream.address
	n.upstream.mu.Unlock()
	err := postCondition(ctx, fmt.Sprintf("http://%s%s", address, kqupstream.ConditionPath), c)
	if err != nil {
		s.logEvent(event{Event: "not sent", Target: n.name, Text: err.Error()})
	}
	return err == nil
}

func postCondition(ctx context.Context, url string, c kqupstream.Condition) error {
	body, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode condition: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("send condition: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("send condition: %w", err)
	}
	return response.Body.Close()
}

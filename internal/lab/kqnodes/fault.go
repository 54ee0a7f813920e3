package kqnodes

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
)

// prefetchTime is how long platformDown waits before the replaced nodes fetch their
// first hosts. If Plan.Prefetch is set, they prefetch their peers' hosts meanwhile.
const prefetchTime = time.Second

// injectFault injects the faults that precede measureChanges, which itself injects
// FaultTenthAndDomain.
func (b *bench) injectFault(ctx context.Context) error {
	switch b.plan.Fault {
	case FaultPlatformDown:
		return b.platformDown(ctx)
	case FaultHerdRestart:
		return b.herdRestart(ctx)
	default:
		return nil
	}
}

// platformDown replaces a tenth of the nodes while the platform refuses all calls. The
// new nodes know nothing but the addresses of a few remaining nodes as seeds.
func (b *bench) platformDown(ctx context.Context) error {
	// The result is dropped: this call records the versions before the fault.
	b.regressions()
	b.fleet.platform.SetFaults(kqfakestore.Faults{Down: true})
	defer b.fleet.platform.SetFaults(kqfakestore.Faults{})
	time.Sleep(b.plan.Idle / 2)
	numbers := b.fleet.kill(func(n int) bool { return n%10 == 7 })
	at := time.Now()
	if err := b.fleet.start(numbers, b.fleet.seeds()); err != nil {
		return err
	}
	took, err := b.fleet.awaitVersion(ctx, b.version, at, changeTimeout)
	if err != nil {
		return fmt.Errorf("replace %d nodes while the platform is down: %w", len(numbers), err)
	}
	b.run.Replaced, b.run.ReplacedMS = len(numbers), float64(took.Milliseconds())
	time.Sleep(prefetchTime)
	var replaced []*member
	for _, m := range b.fleet.members() {
		if slices.Contains(numbers, m.number) {
			replaced = append(replaced, m)
		}
	}
	waits, err := b.fleet.ensureHosts(ctx, replaced)
	if err != nil {
		return err
	}
	wait := percentiles(waits)
	b.run.FirstCallWait = &wait
	for _, m := range replaced {
		sent, received := m.Metrics().ControlBytes()
		b.run.BytesPerReplacedNode += float64(sent+received) / float64(len(replaced))
	}
	time.Sleep(b.plan.Idle / 2)
	b.run.VersionRegressions = b.regressions()
	return nil
}

// herdRestart kills every node, commits a version while they are down, and restarts all
// of them, without seeds and with the platform's rate limits in force. The limits stay
// in force during measureChanges.
func (b *bench) herdRestart(ctx context.Context) error {
	numbers := b.fleet.kill(func(int) bool { return true })
	if _, err := b.commit(ctx); err != nil {
		return err
	}
	b.fleet.platform.SetFaults(kqfakestore.Faults{MaxReads: maxReads, MaxWrites: maxWrites})
	at := time.Now()
	if err := b.fleet.start(numbers, nil); err != nil {
		return err
	}
	took, err := b.fleet.awaitVersion(ctx, b.version, at, changeTimeout)
	if err != nil {
		return fmt.Errorf("restart %d nodes: %w", len(numbers), err)
	}
	b.run.Replaced, b.run.ReplacedMS = len(numbers), float64(took.Milliseconds())
	_, err = b.fleet.ensureHosts(ctx, b.fleet.members())
	return err
}

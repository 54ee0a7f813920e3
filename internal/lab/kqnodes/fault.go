package kqnodes

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
)

// prefetchTime is how long replaced nodes have to prefetch the hosts of their peers, if
// Plan.Prefetch is set, before they need their first hosts.
const prefetchTime = time.Second

// injectFault runs the faults that are not injected while versions are committed.
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

// platformDown replaces a tenth of the nodes while the platform does not answer. The
// new nodes know only the addresses of the others as seeds.
func (b *bench) platformDown(ctx context.Context) error {
	// Called for its side effect: it records the versions before the fault.
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
	wait := convergence(waits)
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
// of them with the platform's rate limits in force. The limits stay in force for the
// changes that are measured afterwards.
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

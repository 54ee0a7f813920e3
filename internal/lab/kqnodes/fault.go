package kqnodes

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/store/kqstandin"
)

// prefetchPause is the time that replaced nodes have before their first calls.
const prefetchPause = time.Second

// fault brings about the faults that stand beside the changes.
func (b *bench) fault(ctx context.Context) error {
	switch b.plan.Fault {
	case FaultPlatformDown:
		return b.platformDown(ctx)
	case FaultHerdRestart:
		return b.herdRestart(ctx)
	default:
		return nil
	}
}

// platformDown replaces a tenth of the nodes while the platform does not
// answer; the others' seeds are all that the new ones know.
func (b *bench) platformDown(ctx context.Context) error {
	b.fallen()
	b.fleet.platform.SetFaults(kqstandin.Faults{Down: true})
	defer b.fleet.platform.SetFaults(kqstandin.Faults{})
	time.Sleep(b.plan.Idle / 2)
	numbers := b.fleet.kill(func(n int) bool { return n%10 == 7 })
	at := time.Now()
	if err := b.fleet.start(numbers, b.fleet.seeds()); err != nil {
		return err
	}
	took, err := b.fleet.await(ctx, b.version, at, changeWait)
	if err != nil {
		return fmt.Errorf("replace %d nodes without the platform: %w", len(numbers), err)
	}
	b.run.Replaced, b.run.ReplacedMS = len(numbers), float64(took.Milliseconds())
	time.Sleep(prefetchPause)
	var fresh []*member
	for _, m := range b.fleet.members() {
		if slices.Contains(numbers, m.number) {
			fresh = append(fresh, m)
		}
	}
	waits, err := b.fleet.want(ctx, fresh)
	if err != nil {
		return err
	}
	wait := convergence(waits)
	b.run.FirstCallWait = &wait
	for _, m := range fresh {
		sent, received := m.Metrics().ControlBytes()
		b.run.ReplacedBytes += float64(sent+received) / float64(len(fresh))
	}
	time.Sleep(b.plan.Idle / 2)
	b.run.VersionsFallen = b.fallen()
	return nil
}

// herdRestart kills every node, commits a version meanwhile and starts all of
// them again, with the platform's rates in force.
func (b *bench) herdRestart(ctx context.Context) error {
	numbers := b.fleet.kill(func(int) bool { return true })
	if _, err := b.commit(ctx); err != nil {
		return err
	}
	b.fleet.platform.SetFaults(kqstandin.Faults{MaxReads: maxReads, MaxWrites: maxWrites})
	at := time.Now()
	if err := b.fleet.start(numbers, nil); err != nil {
		return err
	}
	took, err := b.fleet.await(ctx, b.version, at, changeWait)
	if err != nil {
		return fmt.Errorf("restart %d nodes: %w", len(numbers), err)
	}
	b.run.Replaced, b.run.ReplacedMS = len(numbers), float64(took.Milliseconds())
	_, err = b.fleet.want(ctx, b.fleet.members())
	return err
}

package kqdemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	readyTimeout = 20 * time.Second
	pollInterval = 5 * time.Millisecond
)

type (
	// Demo is the in-process fleet, with the state that the script changes.
	Demo struct {
		fleet     *kqfleet.Fleet
		keys      *keys
		committer *kqcommit.Committer
		out       io.Writer
		progress  io.Writer
		started   time.Time

		documentState documentState
		// version is the newest configuration version that the demo knows to have
		// written, valid or not. The next commit is based on it.
		version    kqname.ConfigVersion
		runLog     *runLog
		targetPool *targetPool
		monitor    *monitor
	}

	// Option configures a Demo.
	Option func(*Demo)
)

// WithProgress sets the writer that gets a line after each step of the script.
func WithProgress(w io.Writer) Option { return func(d *Demo) { d.progress = w } }

// New returns a demo that prints its instructions to out.
func New(out io.Writer, options ...Option) *Demo {
	d := &Demo{out: out, progress: io.Discard, started: time.Now(), runLog: newRunLog(), targetPool: newTargetPool()}
	for _, o := range options {
		o(d)
	}
	d.monitor = newMonitor(d.targetPool)
	return d
}

// Run starts the fleet, prints how to use it, and runs until ctx ends.
func (d *Demo) Run(ctx context.Context) error {
	if err := d.start(ctx); err != nil {
		return errors.Join(err, d.close())
	}
	first := d.fleet.Servers()[0]
	fmt.Fprintf(d.out, "console  https://%s/ (its certificate is of the demo's own CA)\n", first.Node.AdminAddress())
	for _, t := range d.keys.tokens {
		fmt.Fprintf(d.out, "token    %s %s\n", t.name, t.secret)
	}
	fmt.Fprintf(d.out, "set      export KUMQUATGW_ADMIN=https://%s KUMQUATGW_CA=%s KUMQUATGW_TOKEN=%s\n",
		first.Node.AdminAddress(), d.keys.caPath(), d.keys.tokens[0].secret)
	fmt.Fprintf(d.out, "command  kumquatgw status\n")
	fmt.Fprintf(d.out, "api      curl --cacert $KUMQUATGW_CA -H \"Authorization: Bearer $KUMQUATGW_TOKEN\" $KUMQUATGW_ADMIN/v1/fleet\n")
	fmt.Fprintf(d.out, "spare    upstreams %s v1, v2 (good) and v3 (bad) are called on host %s: make a service, a route and a rollout for them\n",
		spareService, spareService)
	fmt.Fprintf(d.out, "try      curl -H 'Host: storefront' http://%s/catalogue\n", first.Node.EntryAddress())
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var spare conc.WaitGroup
	err := d.runSpare(ctx, &spare)
	if err == nil {
		<-ctx.Done()
	}
	stop()
	spare.Wait()
	return errors.Join(err, d.close())
}

// close stops the servers and deletes the keys. It does nothing if the keys could
// not be made, since no server has been started then.
func (d *Demo) close() error {
	if d.keys == nil {
		return nil
	}
	defer d.keys.remove()
	if err := errors.Join(d.keys.err, d.fleet.Close()); err != nil {
		return fmt.Errorf("stop demo: %w", err)
	}
	return nil
}

// start starts the servers, commits the first document, and waits until every
// service answers through every node, at most for readyTimeout.
func (d *Demo) start(ctx context.Context) error {
	var err error
	if d.keys, err = newKeys(); err != nil {
		return fmt.Errorf("start demo: %w", err)
	}
	d.fleet = kqfleet.New(kqfleet.WithSettings(d.keys.applySettings))
	d.committer = kqcommit.New(d.fleet.Platform)
	for _, dep := range deployments {
		for i := range dep.servers {
			s, err := d.fleet.Start(dep.spec(i, i == 0 && dep.service == deployments[0].service))
			if err != nil {
				return fmt.Errorf("start demo: %w", err)
			}
			s.Upstream.OnRun(d.runLog.ran)
			d.targetPool.add(s)
		}
	}
	if _, err := d.commit(ctx, "first document"); err != nil {
		return fmt.Errorf("start demo: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, t := range d.targetPool.targets() {
		for _, dep := range deployments {
			if err := d.targetPool.awaitAnswer(ctx, t, kqname.Host(dep.service)); err != nil {
				return fmt.Errorf("start demo: %w", err)
			}
		}
	}
	return nil
}

// commit commits the document of the current state and returns the time at
// which the commit began. A retry after a failure has the same request id, so that
// it does not commit twice if the failed attempt was applied.
func (d *Demo) commit(ctx context.Context, reason string) (time.Time, error) {
	began := time.Now()
	o, err := d.committer.Commit(ctx, kqcommit.Request{
		ID: fmt.Sprintf("demo-%d", d.version+1), Base: d.version, Author: "demo", Reason: reason, At: began, Document: d.documentState.document(),
	})
	if err != nil {
		return began, fmt.Errorf("commit %s: %w", reason, err)
	}
	if o.Status != kqcommit.Committed {
		return began, fmt.Errorf("commit %s: unexpected status %s", reason, o.Status)
	}
	d.version = o.Version
	return began, nil
}

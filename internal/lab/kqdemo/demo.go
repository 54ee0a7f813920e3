// Package kqdemo runs the two users' deployments, small, on loopback in one
// process.
package kqdemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	readyWait = 10 * time.Second
	readyPoll = 10 * time.Millisecond
)

type (
	// Demo is the embedded deployment.
	Demo struct {
		fleet *kqfleet.Fleet
		keys  *keys
		out   io.Writer
	}

	deployment struct {
		service kqname.Service
		team    kqname.Team
		region  kqname.Region
		servers int
		slots   int
		work    time.Duration
	}
)

var deployments = []deployment{
	{"storefront", "kauri-ridge", "nz-south", 4, 6, 4 * time.Millisecond},
	{"woodshed", "kauri-ridge", "nz-south", 4, 6, 3 * time.Millisecond},
	{"portail-lecteurs", "maison-diagne", "dakar", 4, 12, 4 * time.Millisecond},
	{"bureau-redaction", "maison-diagne", "dakar", 4, 12, 3 * time.Millisecond},
}

// New returns a demo that prints to out.
func New(out io.Writer) *Demo { return &Demo{out: out} }

// Run starts everything, prints how to try it, and runs until ctx ends.
func (d *Demo) Run(ctx context.Context) error {
	var err error
	if d.keys, err = newKeys(); err != nil {
		return fmt.Errorf("start demo: %w", err)
	}
	defer d.keys.remove()
	d.fleet = kqfleet.New(kqfleet.WithSettings(d.keys.adapt))
	if err := d.start(ctx); err != nil {
		return errors.Join(err, d.keys.err, d.fleet.Close())
	}
	first := d.fleet.Servers()[0]
	fmt.Fprintf(d.out, "console  https://%s/ (its certificate is of the demo's own CA)\n", first.Node.AdminAddress())
	for _, t := range d.keys.tokens {
		fmt.Fprintf(d.out, "token    %s %s\n", t.name, t.secret)
	}
	fmt.Fprintf(d.out, "api      curl --cacert %s -H \"Authorization: Bearer $KUMQUATGW_TOKEN\" https://%s/v1/fleet\n",
		d.keys.ca(), first.Node.AdminAddress())
	fmt.Fprintf(d.out, "upstream kumquatgw upstream --service NAME --upstream-version v2 --node %s\n", first.Node.LocalAddress())
	fmt.Fprintf(d.out, "try      curl -H 'Host: storefront' http://%s/catalogue\n", first.Node.EntryAddress())
	<-ctx.Done()
	if err := d.fleet.Close(); err != nil {
		return fmt.Errorf("stop demo: %w", err)
	}
	return nil
}

func (d *Demo) start(ctx context.Context) error {
	for _, dep := range deployments {
		for i := range dep.servers {
			if _, err := d.fleet.Start(kqfleet.Spec{
				Node:   kqname.Node(fmt.Sprintf("%s-%d", dep.service, i+1)),
				Domain: kqname.Domain(fmt.Sprintf("%s-%d", dep.region, i%4+1)), Region: dep.region,
				Service: dep.service, Version: "v1", Slots: dep.slots,
				Behaviour: kqupstream.Behaviour{Work: dep.work}, Admin: len(d.fleet.Servers()) == 0,
			}); err != nil {
				return fmt.Errorf("start demo: %w", err)
			}
		}
	}
	o, err := kqcommit.New(d.fleet.Platform).Commit(ctx, kqcommit.Request{
		ID: "demo-1", Author: "demo", Reason: "first document", At: time.Now(), Document: Document(),
	})
	if err != nil {
		return fmt.Errorf("start demo: %w", err)
	}
	return d.await(ctx, o.Version)
}

// Document returns the document that the demo begins with.
func Document() kqdocument.Document {
	d := kqdocument.Document{
		Teams: []kqdocument.Team{{Name: "kauri-ridge"}, {Name: "maison-diagne"}},
		Policies: []kqdocument.Policy{
			{Name: "finishing-first", Prefer: kqdocument.PreferFinishing},
			{Name: "taking-back-first", Prefer: kqdocument.PreferTakingBack},
		},
	}
	for _, dep := range deployments {
		d.Services = append(d.Services, kqdocument.Service{Name: dep.service, Team: dep.team, Version: "v1"})
		d.Routes = append(d.Routes, kqdocument.Route{
			Name: kqname.Route(dep.service), Team: dep.team, Host: kqname.Host(dep.service), PathPrefix: "/", Service: dep.service,
		})
	}
	return d
}

// await returns once every node has the version.
func (d *Demo) await(ctx context.Context, v kqname.ConfigVersion) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for _, s := range d.fleet.Servers() {
		for s.Node.Version() < v {
			select {
			case <-ctx.Done():
				return fmt.Errorf("wait for version %d on %s: %w", v, s.Spec.Node, ctx.Err())
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

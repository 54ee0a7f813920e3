package kqsnapshot

import (
	"fmt"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// check validates what the snapshot holds by the rules of the whole document.
// The commit did so before, but a node does not take another process's word: a
// commit by an older program, or by none of ours, could let calls run astray.
// Teams stand only in the whole document; those that are named are taken as is.
func (s *Snapshot) check() error {
	var d kqdocument.Document
	teams := make(map[kqname.Team]bool)
	policies := make(map[kqname.Policy]bool)
	for _, held := range s.services {
		d.Services = append(d.Services, held.Service)
		teams[held.Service.Team] = true
		for _, r := range held.Rollouts {
			d.Rollouts = append(d.Rollouts, r)
			teams[r.Team] = true
		}
		for _, p := range held.Policies {
			if !policies[p.Name] {
				policies[p.Name] = true
				d.Policies = append(d.Policies, p)
			}
		}
	}
	for _, x := range s.hosts {
		for _, routes := range x.prefixes {
			for _, r := range routes {
				d.Routes = append(d.Routes, r)
				teams[r.Team] = true
			}
		}
	}
	for t := range teams {
		d.Teams = append(d.Teams, kqdocument.Team{Name: t})
	}
	if problems := kqdocument.Validate(d); len(problems) > 0 {
		return fmt.Errorf("%d problems, the first at %w: %w", len(problems), problems[0], ErrInvalid)
	}
	return nil
}

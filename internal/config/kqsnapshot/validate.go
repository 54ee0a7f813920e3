package kqsnapshot

import (
	"fmt"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// validate applies the rules for adopted documents to the snapshot's content. The
// commit validates too, but a node does not rely on it: an older version of this
// program, or another one, could commit a document that misroutes calls. Teams are not
// part of a snapshot, so every team that is named is assumed to exist and to have no
// quotas.
func (s *Snapshot) validate() error {
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
	for _, domain := range s.root.Evacuated {
		d.Evacuations = append(d.Evacuations, kqdocument.Evacuation{Name: domain})
	}
	d.Workspaces = s.Workspaces()
	if problems := kqdocument.ValidateAdopted(d); len(problems) > 0 {
		return fmt.Errorf("%d validation problems, first %w: %w", len(problems), problems[0], ErrInvalid)
	}
	return nil
}

package kqprogress

const (
	// Open rollouts have no final state yet.
	Open Final = ""
	// Done rollouts have moved all traffic to the new version.
	Done Final = "done"
	// FinalRollback rollouts were rolled back: all traffic goes to the old version.
	FinalRollback Final = "taken back"
)

type (
	// Final is a rollout's final state. It is only set from the record that the
	// platform's compare-and-swap accepted, so that there is exactly one.
	Final string

	// Progress is the progress of one plan as known to a node.
	Progress struct {
		// Step only increases; at 0 the new version gets no traffic, unless Final is Done.
		Step int `cbor:"1,keyasint" json:"step"`
		// RolledBack overrides every step: the new version gets no traffic, unless Final
		// is Done.
		RolledBack bool `cbor:"2,keyasint" json:"rolled_back"`
		// Why is the reason for the rollback or the final state.
		Why   string `cbor:"3,keyasint" json:"why"`
		Final Final  `cbor:"4,keyasint" json:"final"`
	}
)

// Join returns the least upper bound of a and b. Final states come from one
// compare-and-swap and so never differ; if they did, FinalRollback would win, which keeps
// the traffic on the old version.
func Join(a, b Progress) Progress {
	j := Progress{Step: max(a.Step, b.Step), RolledBack: a.RolledBack || b.RolledBack, Final: joinFinal(a.Final, b.Final)}
	j.Why = joinReason(j, a, b)
	return j
}

// Open reports whether the rollout has no final state yet.
func (p Progress) Open() bool { return p.Final == Open }

// MayGetTraffic reports whether the new version may get any traffic.
func (p Progress) MayGetTraffic() bool {
	return p.Final == Done || p.Final == Open && !p.RolledBack && p.Step > 0
}

func joinFinal(a, b Final) Final {
	switch {
	case a == FinalRollback || b == FinalRollback:
		return FinalRollback
	case a == Done || b == Done:
		return Done
	default:
		return Open
	}
}

// joinReason returns the reason of the side whose rollback or final state is the joined
// one, or "" if j has neither. If both sides have it, it returns the lexicographically
// smaller text that is not empty, so that the result does not depend on the order of
// joining.
func joinReason(j, a, b Progress) string {
	reason := ""
	for _, p := range []Progress{a, b} {
		if p.Final != j.Final || j.Final == Open && p.RolledBack != j.RolledBack || !j.RolledBack && j.Final == Open {
			continue
		}
		if reason == "" || p.Why != "" && p.Why < reason {
			reason = p.Why
		}
	}
	return reason
}

package kqprogress

const (
	// Open rollouts have no final state yet.
	Open Final = ""
	// Done rollouts have moved all traffic to the new version.
	Done Final = "done"
	// TakenBack rollouts have given all traffic back to the old version.
	TakenBack Final = "taken back"
)

type (
	// Final is a rollout's final state. It is set only from what the
	// platform's compare-and-swap let in, so that there is exactly one.
	Final string

	// Progress is what is known of one plan's progress.
	Progress struct {
		// Step only grows; 0 gives the new version no traffic.
		Step int `cbor:"1,keyasint" json:"step"`
		// RolledBack absorbs every step: the new version gets no traffic.
		RolledBack bool `cbor:"2,keyasint" json:"rolled_back"`
		// Why tells in words what the rollback, or the final state, rests on.
		Why   string `cbor:"3,keyasint" json:"why"`
		Final Final  `cbor:"4,keyasint" json:"final"`
	}
)

// Join returns the least progress that is at least both. Final states come
// from one compare-and-swap and so never differ; if two did, taken back would
// stand, which harms no caller.
func Join(a, b Progress) Progress {
	j := Progress{Step: max(a.Step, b.Step), RolledBack: a.RolledBack || b.RolledBack, Final: final(a.Final, b.Final)}
	j.Why = why(j, a, b)
	return j
}

// Open reports whether the rollout can still move.
func (p Progress) Open() bool { return p.Final == Open }

// Serves reports whether the new version may get traffic at all.
func (p Progress) Serves() bool {
	return p.Final == Done || p.Final == Open && !p.RolledBack && p.Step > 0
}

func final(a, b Final) Final {
	switch {
	case a == TakenBack || b == TakenBack:
		return TakenBack
	case a == Done || b == Done:
		return Done
	default:
		return Open
	}
}

// why keeps the words of the side that set the joined state; of two such
// sides, the lower text, so that the order of joining does not show.
func why(j, a, b Progress) string {
	words := ""
	for _, p := range []Progress{a, b} {
		if p.Final != j.Final || j.Final == Open && p.RolledBack != j.RolledBack || !j.RolledBack && j.Final == Open {
			continue
		}
		if words == "" || p.Why != "" && p.Why < words {
			words = p.Why
		}
	}
	return words
}

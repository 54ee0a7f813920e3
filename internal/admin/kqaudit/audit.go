package kqaudit

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// maxRecords bounds the records in memory; the oldest are evicted.
const maxRecords = 500

type (
	// Record is one attempted change, or one request or login that was refused before
	// its operator was known. It never contains a token.
	Record struct {
		At       time.Time   `json:"at"`
		Operator string      `json:"operator,omitempty"`
		Team     kqname.Team `json:"team,omitempty"`
		Source   string      `json:"source"`
		// Way is "api" or "console", and What the attempted action.
		Way     string               `json:"way"`
		What    string               `json:"what"`
		Request string               `json:"request_id,omitempty"`
		Reason  string               `json:"reason,omitempty"`
		Version kqname.ConfigVersion `json:"version,omitempty"`
		// Refused is the code of the problem that answered the attempt, "" for accepted
		// changes. With kqproblem.OutcomeUnknown the change may still take effect.
		Refused kqproblem.Code `json:"refused,omitempty"`
	}

	// Audit is a bounded audit log. It is safe for concurrent use.
	Audit struct {
		log *logrus.Entry

		mu      sync.Mutex
		records []Record
	}
)

// New returns an empty audit log that also writes each record to log.
func New(log *logrus.Entry) *Audit { return &Audit{log: log} }

// Add adds a record and logs it.
func (a *Audit) Add(r Record) {
	entry := a.log.WithFields(logrus.Fields{
		"operator": r.Operator, "source": r.Source, "way": r.Way, "request_id": r.Request, "reason": r.Reason,
	})
	if r.Refused != "" {
		entry.Warnf("Answered %s with problem %s.", r.What, r.Refused)
	} else {
		// A change without a difference commits nothing; its version is the one in force.
		entry.Infof("Accepted %s as version %d.", r.What, r.Version)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.records = append(a.records, r)
	if len(a.records) > maxRecords {
		a.records = slices.Delete(a.records, 0, len(a.records)-maxRecords)
	}
}

// Records returns the records that the operator may see, newest first: all for
// admins, those of the same team's operators for members.
func (a *Audit) Records(o kqoperator.Operator) []Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]Record, 0, len(a.records))
	for _, r := range slices.Backward(a.records) {
		if o.Role == kqoperator.Admin || r.Team == o.Team {
			list = append(list, r)
		}
	}
	return list
}

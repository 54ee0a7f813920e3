package kqsurvey_test

import (
	"encoding/json"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsurvey"
)

// Reports of the same seed are compared to find regressions in the decisions. If
// a report depended on which rollout ended first, a regression could be mistaken
// for random variation.
func TestEqualSeedsGiveEqualReports(t *testing.T) {
	report := func(workers int) string {
		data, err := json.Marshal(kqsurvey.New(13, kqsurvey.WithCount(16), kqsurvey.WithWorkers(workers)).Run())
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
	if one, four := report(1), report(4); one != four {
		t.Errorf("reports with 1 and 4 workers differ:\n%s\n%s", one, four)
	}
}

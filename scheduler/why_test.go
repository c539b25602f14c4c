package scheduler

import (
	"strings"
	"testing"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/resource"
)

// TestWhyNamesObstacle guards against an explanation that names the wrong obstacle or has more than one line.
func TestWhyNamesObstacle(t *testing.T) {
	wholeWorker, rackGang := shape(1, 8, resource.AdjacencyNone), shape(4, 8, resource.AdjacencyRack)
	cases := map[string]struct {
		change  func(*config.Document)
		before  func(*fixture)
		shape   resource.Shape
		options []jobOption
		want    string
	}{
		"quota": {func(d *config.Document) { d.Accounts["a"] = config.Account{Name: "a", Quota: 8} },
			func(f *fixture) { f.submit("x", "a", wholeWorker) }, wholeWorker, nil, "quota: account a uses 8 of 8"},
		"adjacency": {nil, func(f *fixture) { f.adoptRunning("x", "w-00", 8); f.adoptRunning("y", "w-04", 8) },
			rackGang, nil, "adjacency"},
		"capacity":   {nil, func(f *fixture) { f.submit("x", "b", shape(8, 8, resource.AdjacencyNone)) }, wholeWorker, nil, "capacity: 0 of 1"},
		"guarantees": {withGuarantee("b", 8, wholeWorker), func(*fixture) {}, wholeWorker, []jobOption{runOnce}, "bound to guarantees"},
		"reclaim": {withGuarantee("a", 1, wholeWorker), func(f *fixture) { f.submit("x", "b", shape(8, 8, resource.AdjacencyNone)) },
			wholeWorker, nil, "reclaim of its guarantee in progress"},
		"degraded": {withGuarantee("a", 1, rackGang), func(f *fixture) {
			for _, id := range []string{"w-00", "w-04"} {
				f.core.SetWorkerHealth(id, HealthUnreachable, f.now)
			}
		}, rackGang, nil, "degraded guarantee"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 8, c.change)
			c.before(f)
			f.planAndStart()
			f.submit("j", "a", c.shape, c.options...)
			f.planAndStart()
			if why := f.core.Why("j", f.now); !strings.Contains(why, c.want) || strings.Contains(why, "\n") {
				t.Errorf("got %q, want one line that contains %q", why, c.want)
			}
		})
	}
}

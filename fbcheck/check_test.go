package fbcheck

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford"
)

func validRoute() Route {
	return NewRoute("h", "/p/", "svc").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 1500*time.Millisecond)
}

func validConfig(routes ...Route) Config {
	return NewConfig(7, routes, []string{"svc"}, filbertford.NewRequestLimits(1<<20, 1<<14, 15*time.Second, 3*time.Second))
}

// TestCheck guards against configurations that are sent although an entry of theirs is
// invalid or has no effect.
func TestCheck(t *testing.T) {
	invalid := NewRoute("h", "/p/", "svc").WithPolicy(-1, 0).WithObjective(0.5, -time.Second, -time.Second)
	tests := map[string]struct {
		config  Config
		targets map[string]int
		want    []string
	}{
		"valid":           {config: validConfig(validRoute()), targets: map[string]int{"svc": 1}},
		"no version":      {config: Config{}, want: []string{"error version: is missing or 0"}},
		"route twice":     {config: validConfig(validRoute(), validRoute()), want: []string{"error h/p/: route 2 never matches: route 1 has the same host and prefix"}},
		"host with port":  {config: validConfig(Route{host: "h:80", prefix: "/p/", service: "svc", attempts: 1, stretch: 1}), want: []string{"error h:80/p/: never matches: hosts are compared without the port"}},
		"relative prefix": {config: validConfig(Route{host: "h", prefix: "p/", service: "svc", attempts: 1, stretch: 1}), want: []string{"error hp/: never matches: the prefix doesn't begin with a slash"}},
		"unknown service": {config: validConfig(Route{host: "h", prefix: "/p/", service: "other", attempts: 1, stretch: 1}), want: []string{`error h/p/: service "other" doesn't exist`}},
		"no targets":      {config: validConfig(validRoute()), targets: map[string]int{}, want: []string{"warning svc: service has no targets"}},
		"invalid values": {config: validConfig(invalid), want: []string{
			"error h/p/: priority is -1; the highest is 0", "error h/p/: attempts is 0, must be at least 1",
			"error h/p/: stretch is 0.5, must be at least 1", "error h/p/: objective's constant part is -1s, must not be negative",
			"error h/p/: timeout is -1s, must not be negative",
		}},
		"timeout within the objective": {
			config: validConfig(validRoute().WithObjective(1, time.Second, time.Second)),
			want:   []string{"error h/p/: timeout 1s is not longer than the objective's constant part 1s"},
		},
		"limits": {
			config: NewConfig(7, nil, nil, filbertford.NewRequestLimits(-1, 0, time.Second, 2*time.Second)),
			want: []string{
				"error limits: a size is negative: body -1, header 0",
				"error limits: header timeout 2s is longer than the idle timeout 1s, which closes the connection first",
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, f := range Check(tt.config, tt.targets) {
				got = append(got, fmt.Sprintf("%s %s: %s", f.Severity(), f.Entry(), f.Reason()))
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("findings (-want +got):\n%s", diff)
			}
		})
	}
}

// ExampleCompare compares a version with the one in force.
func ExampleCompare() {
	route := validRoute()
	next := NewConfig(7, []Route{route.WithPolicy(2, 3), NewRoute("h", "/q/", "svc")}, []string{"svc", "new"}, filbertford.RequestLimits{})
	for _, d := range Compare(NewConfig(7, []Route{route}, []string{"svc"}, filbertford.RequestLimits{}), next) {
		fmt.Printf("%s: %s\n", d.Entry(), d.Change())
	}
	// Output:
	// new: service is added
	// h/p/: priority 0 -> 2
	// h/q/: route is added, to service svc
	// version: 7 isn't newer than 7; it would be ignored
}

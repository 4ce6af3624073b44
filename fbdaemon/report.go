package fbdaemon

import (
	"context"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
	"github.com/filbertford/filbertford/fbmember"
	"github.com/filbertford/filbertford/fbsettings"
)

// Report is a snapshot of a daemon's state for operators.
type Report struct {
	now               time.Time
	self              fbmember.State
	members           []fbmember.Member
	targets           []fbcore.TargetReport
	settings          fbsettings.Status
	platformReachable bool
}

// Report returns a snapshot of the daemon's state.
func (d *Daemon) Report(ctx context.Context) (Report, error) {
	var r Report
	err := d.callControl(ctx, func(c *controlLoop, now time.Time) {
		r = Report{
			now:               now,
			self:              c.ownState(now),
			members:           c.dir.Members(),
			targets:           c.core.Targets(),
			settings:          d.settingsService.Status(),
			platformReachable: d.platformReachable.Load(),
		}
	})
	return r, err
}

// Now returns the time of the report.
func (r Report) Now() time.Time { return r.now }

// VM returns the daemon's VM.
func (r Report) VM() filbertford.VMID { return r.self.VM() }

// DataCentre returns the daemon's data centre.
func (r Report) DataCentre() filbertford.DataCentre { return r.self.DataCentre() }

// Settings returns the state of the settings' distribution to this daemon.
func (r Report) Settings() fbsettings.Status { return r.settings }

// PlatformReachable reports whether the last read of the platform's VM list
// succeeded.
func (r Report) PlatformReachable() bool { return r.platformReachable }

// Members returns the other daemons.
func (r Report) Members() []fbmember.Member { return r.members }

// Targets returns the targets of the data centre.
func (r Report) Targets() []fbcore.TargetReport { return r.targets }

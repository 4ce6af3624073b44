package fbdaemon

import (
	"context"
	"time"

	"github.com/filbertford/filbertford/fbsettings"
	"github.com/filbertford/filbertford/fbtree"
)

// applySettings takes a version of the settings. It is called in ascending order
// of versions.
func (d *Daemon) applySettings(t *fbtree.Tree) {
	d.settings.Store(t)
	d.haveSettings.Store(true)
	_ = d.send(d.ctx, settingsChanged{})
}

// settingsChanged tells the control goroutine of a new version.
type settingsChanged struct{}

func (settingsChanged) handle(c *controlLoop, now time.Time) { c.setTargets(now) }

// updateSettingsMembers tells the settings service which versions the live daemons of
// all data centres told.
func (d *Daemon) updateSettingsMembers(ctx context.Context) {
	var members []fbsettings.Member
	err := d.callControl(ctx, func(c *controlLoop, now time.Time) {
		for _, m := range c.dir.Reachable(now) {
			members = append(members, fbsettings.NewMember(m.Address(), m.State().SettingsVersion()))
		}
	})
	if err == nil {
		_ = d.settingsService.SetMembers(ctx, members)
	}
}

package fbdaemon

import (
	"context"
	"time"

	"github.com/filbertford/filbertford/fbsettings"
	"github.com/filbertford/filbertford/fbtree"
)

// applySettings makes a version of the settings the current one. It is called in
// ascending order of versions.
func (d *Daemon) applySettings(t *fbtree.Tree) {
	d.settings.Store(t)
	d.haveSettings.Store(true)
	_ = d.send(d.ctx, settingsChanged{})
}

// settingsChanged is the message that a new version of the settings applies.
type settingsChanged struct{}

func (settingsChanged) handle(c *controlLoop, now time.Time) { c.setTargets(now) }

// updateSettingsMembers passes the settings versions that the reachable daemons of
// all data centres last reported to the settings service.
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

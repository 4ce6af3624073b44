package fbdaemon

import (
	"context"
	"time"

	"github.com/filbertford/filbertford/fbsettings"
	"github.com/filbertford/filbertford/fbtree"
)

// putInForce takes a version of the settings. It is called in ascending order
// of versions.
func (d *Daemon) putInForce(t *fbtree.Tree) {
	d.settings.Store(t)
	d.haveSettings.Store(true)
	_ = d.send(d.ctx, settingsChanged{})
}

// settingsChanged tells the control goroutine of a new version.
type settingsChanged struct{}

func (settingsChanged) handle(c *control, now time.Time) { c.setTargets(now) }

// spreadMembers tells the settings service which versions the live daemons of
// all data centres told.
func (d *Daemon) spreadMembers(ctx context.Context) {
	var members []fbsettings.Member
	err := d.inquire(ctx, func(c *control, now time.Time) {
		for _, m := range c.dir.Reachable(now) {
			members = append(members, fbsettings.NewMember(m.Address(), m.State().Settings()))
		}
	})
	if err == nil {
		_ = d.spread.SetMembers(ctx, members)
	}
}

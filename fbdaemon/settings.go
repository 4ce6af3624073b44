package fbdaemon

import (
	"context"

	"github.com/filbertford/filbertford/fbpeer"
)

// settingsService passes settings on between daemons.
type settingsService struct{ d *Daemon }

var _ fbpeer.SettingsHolder = settingsService{}

// PushSettings takes a version of the settings.
func (s settingsService) PushSettings(context.Context, fbpeer.Settings) (fbpeer.Settings, error) {
	return fbpeer.NewSettings(s.d.settings.Load().Version(), 0, 0, nil, false), nil
}

// PullSettings returns the settings in force.
func (s settingsService) PullSettings(_ context.Context, have uint64) (fbpeer.Settings, error) {
	t := s.d.settings.Load()
	if t.Version() <= have {
		return fbpeer.NewSettings(t.Version(), 0, 0, nil, false), nil
	}
	return fbpeer.NewSettings(t.Version(), 0, t.Version(), t.Encode(), false), nil
}

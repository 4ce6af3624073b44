package fbdaemon

// Authenticate reports whether a caller's key is good for the team.
func (d *Daemon) Authenticate(team, key string) bool {
	return d.settings.Load().Authorized(team, key)
}

// TeamOf returns the team of a caller's key, empty if no team demands keys.
func (d *Daemon) TeamOf(key string) (string, bool) {
	return d.settings.Load().TeamOf(key)
}

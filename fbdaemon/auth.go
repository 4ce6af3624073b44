package fbdaemon

// Authenticate reports whether a caller's key is valid for the team.
func (d *Daemon) Authenticate(team, key string) bool {
	return d.settings.Load().Authorized(team, key)
}

// TeamOf returns the team of a caller's key, or an empty team if no team requires
// keys. It returns false if the key is not valid.
func (d *Daemon) TeamOf(key string) (string, bool) {
	return d.settings.Load().TeamOf(key)
}

package fbevent

// Events of the settings.
var (
	SettingsApplied        = infoEvent("FE2001", "settings version applied")
	SettingsUpdateRejected = warnEvent("FE2002", "settings update rejected; keeping the current version")
	SettingsPollFailing    = warnEvent("FE2003", "cannot read the newest settings version; keeping the current one")
	SettingsPollRecovered  = infoEvent("FE2004", "newest settings version can be read again")
)

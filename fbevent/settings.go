package fbevent

// Events of the settings.
var (
	SettingsApplied       = infoEvent("FE2001", "a version of the settings is in force")
	SettingsUpdateRefused = warnEvent("FE2002", "an update of the settings was refused; the version in force stays")
	SettingsPollFailing   = warnEvent("FE2003", "the newest version of the settings can't be read; the version in force stays")
	SettingsPollRecovered = infoEvent("FE2004", "the newest version of the settings can be read again")
)

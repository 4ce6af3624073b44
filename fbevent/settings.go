package fbevent

// Events of the settings.
var (
	SettingsInForce       = info("FE2001", "a version of the settings is in force")
	SettingsUpdateRefused = warn("FE2002", "an update of the settings was refused; the version in force stays")
	SettingsPollFailing   = warn("FE2003", "the newest version of the settings can't be read; the version in force stays")
	SettingsPollMended    = info("FE2004", "the newest version of the settings can be read again")
)

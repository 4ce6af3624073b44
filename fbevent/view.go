package fbevent

// Events of the view of opaque keys.
var (
	ViewAdopted              = infoEvent("FE4001", "view of opaque keys adopted")
	ViewCommitted            = infoEvent("FE4002", "view of opaque keys committed")
	ViewConflict             = infoEvent("FE4003", "commit of the view conflicted with another commit")
	ViewCommitUnknown        = warnEvent("FE4004", "outcome of the view's commit is unknown; reading the row again")
	ViewRowRejected          = errorEvent("FE4005", "row of the view rejected")
	ViewRowUnavailable       = warnEvent("FE4006", "cannot read the row of the view; asking the other members")
	ViewUnconfirmed          = warnEvent("FE4007", "daemon cannot confirm that it owns its opaque keys; it accepts none")
	ViewConfirmed            = infoEvent("FE4008", "daemon confirmed that it owns its opaque keys")
	ViewConfirmationRejected = warnEvent("FE4009", "member refused to confirm the view")
	ViewLeft                 = infoEvent("FE4010", "daemon left the view of opaque keys")
	ViewMemberGone           = infoEvent("FE4011", "member of the view is gone permanently")
	ViewKeyUndecided         = warnEvent("FE4012", "a former owner may have started the opaque key's job")
)

package fbevent

// Events of the view of opaque keys.
var (
	ViewAdopted             = infoEvent("FE4001", "view of opaque keys was adopted")
	ViewCommitted           = infoEvent("FE4002", "view of opaque keys was committed")
	ViewConflict            = infoEvent("FE4003", "commit of the view met another one")
	ViewCommitUnknown       = warnEvent("FE4004", "outcome of the view's commit is unknown; the row is read again")
	ViewRowRefused          = errorEvent("FE4005", "row of the view was refused")
	ViewRowUnavailable      = warnEvent("FE4006", "row of the view can't be read; the other members are asked")
	ViewUnconfirmed         = warnEvent("FE4007", "daemon is not sure of its opaque keys and takes none")
	ViewConfirmed           = infoEvent("FE4008", "daemon is sure of its opaque keys")
	ViewConfirmationRefused = warnEvent("FE4009", "a member refused to confirm the view")
	ViewLeft                = infoEvent("FE4010", "daemon left the view of opaque keys")
	ViewMemberGone          = infoEvent("FE4011", "a member of the view is gone for good")
	ViewKeyUndecided        = warnEvent("FE4012", "opaque key can't be told from one that a former owner started")
)

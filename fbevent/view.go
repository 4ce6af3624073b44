package fbevent

// Events of the view of opaque keys.
var (
	ViewAdopted      = info("FE4001", "view of opaque keys was adopted")
	ViewCommitted    = info("FE4002", "view of opaque keys was committed")
	ViewConflict     = info("FE4003", "commit of the view met another one")
	ViewUnknown      = warn("FE4004", "outcome of the view's commit is unknown; the row is read again")
	ViewRowRefused   = fault("FE4005", "row of the view was refused")
	ViewUnavailable  = warn("FE4006", "row of the view can't be read; the other members are asked")
	ViewUnsure       = warn("FE4007", "daemon is not sure of its opaque keys and takes none")
	ViewSure         = info("FE4008", "daemon is sure of its opaque keys")
	ViewRefused      = warn("FE4009", "a member refused to confirm the view")
	ViewLeft         = info("FE4010", "daemon left the view of opaque keys")
	ViewMemberGone   = info("FE4011", "a member of the view is gone for good")
	ViewKeyUndecided = warn("FE4012", "opaque key can't be told from one that a former owner started")
)

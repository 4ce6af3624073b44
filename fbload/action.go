package fbload

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Action is a change to the load, the targets or the platform during a load.
type Action string

// The actions. The value of an action on targets is the share of targets that it
// is applied to, that of ActionRate a share of the targets' capacity, and that of
// ActionPlatformSlow a number of milliseconds.
const (
	ActionRate                  Action = "rate"
	ActionFailAll               Action = "fail-all"
	ActionSlow                  Action = "slow"
	ActionFreeze                Action = "freeze"
	ActionLeave                 Action = "leave"
	ActionDisconnectBeforeStart Action = "cut-before"
	ActionDisconnectAfterStart  Action = "cut-started"
	ActionDisconnectInReply     Action = "cut-reply"
	ActionWrongID               Action = "wrong-id"
	ActionDuplicateReplies      Action = "twice"
	ActionHeal                  Action = "heal"
	ActionPlatformDown          Action = "platform-down"
	ActionPlatformSlow          Action = "platform-slow"
	ActionPlatformLoseReplies   Action = "platform-lose"
	ActionPlatformUp            Action = "platform-up"
)

// slowFactor is the factor by which ActionSlow multiplies run times.
const slowFactor = 10

// ScheduledAction is an action with the time at which it is applied and its value.
type ScheduledAction struct {
	at     time.Duration
	action Action
	value  float64
}

// NewScheduledAction returns an action that is applied at the given time since the
// start of the load.
func NewScheduledAction(at time.Duration, action Action, value float64) ScheduledAction {
	return ScheduledAction{at: at, action: action, value: value}
}

// At returns the time of the action since the start of the load.
func (a ScheduledAction) At() time.Duration { return a.at }

// Action returns the action without its time and value.
func (a ScheduledAction) Action() Action { return a.action }

// Value returns the action's value.
func (a ScheduledAction) Value() float64 { return a.value }

// String returns the text that ParseScheduledAction parses.
func (a ScheduledAction) String() string {
	return a.at.String() + "=" + string(a.action) + ":" + strconv.FormatFloat(a.value, 'g', -1, 64)
}

// ParseScheduledAction parses text such as 10s=fail-all:0.1, 20s=heal or
// 15s=rate:1.5. It returns an error if the text is malformed, the action is
// unknown or its value is out of range.
func ParseScheduledAction(text string) (ScheduledAction, error) {
	atText, actionText, ok := strings.Cut(text, "=")
	if !ok {
		return ScheduledAction{}, eris.Errorf("scheduled action %q is not of the form TIME=ACTION or TIME=ACTION:VALUE", text)
	}
	at, err := time.ParseDuration(atText)
	if err != nil || at < 0 {
		return ScheduledAction{}, eris.Errorf("scheduled action %q: time %q is not a non-negative duration such as 10s", text, atText)
	}
	name, valueText, hasValue := strings.Cut(actionText, ":")
	minValue, maxValue, ok := Action(name).bounds()
	if !ok {
		return ScheduledAction{}, eris.Errorf("scheduled action %q: unknown action %q", text, name)
	}
	if !hasValue && minValue == 0 {
		return NewScheduledAction(at, Action(name), 0), nil
	}
	value, err := strconv.ParseFloat(valueText, 64)
	if err != nil || !(value >= minValue && value <= maxValue) {
		return ScheduledAction{}, eris.Errorf("scheduled action %q: value %q is not a number from %g to %g", text, valueText, minValue, maxValue)
	}
	return NewScheduledAction(at, Action(name), value), nil
}

// bounds returns the minimum and maximum value of an action, or false for an
// unknown action. If the minimum is zero, the value may be omitted.
func (a Action) bounds() (minValue, maxValue float64, ok bool) {
	switch a {
	case ActionRate:
		return 0.001, 10, true
	case ActionFailAll, ActionSlow, ActionFreeze, ActionLeave, ActionDisconnectBeforeStart, ActionDisconnectAfterStart, ActionDisconnectInReply, ActionWrongID, ActionDuplicateReplies:
		return 0.001, 1, true
	case ActionPlatformSlow:
		return 1, 60_000, true
	case ActionHeal, ActionPlatformDown, ActionPlatformLoseReplies, ActionPlatformUp:
		return 0, 0, true
	default:
		return 0, 0, false
	}
}

// rateSchedule returns the rate, a share of the targets' capacity, as a function
// of the time since the start of the load.
func rateSchedule(initialRate float64, actions []ScheduledAction) func(time.Duration) float64 {
	sorted := slices.SortedStableFunc(slices.Values(actions), func(a, b ScheduledAction) int { return cmp.Compare(a.at, b.at) })
	return func(at time.Duration) float64 {
		rate := initialRate
		for _, a := range sorted {
			if a.action == ActionRate && a.at <= at {
				rate = a.value
			}
		}
		return rate
	}
}

type targetFaultsRequest struct {
	FailAll          bool    `json:"fail_all"`
	SlowFactor       float64 `json:"slow_factor"`
	Freeze           bool    `json:"freeze"`
	Leaving          bool    `json:"leaving"`
	Disconnect       string  `json:"cut"`
	WrongID          bool    `json:"wrong_id"`
	DuplicateReplies bool    `json:"twice"`
}

type platformFaultsRequest struct {
	Down        bool  `json:"down"`
	DelayMS     int64 `json:"slow_ms"`
	LoseReplies bool  `json:"lose_replies"`
}

// targetFaultsBody returns the request body that sets the faults of a target. It
// returns false if the action is not one on targets.
func (a ScheduledAction) targetFaultsBody() ([]byte, bool) {
	var f targetFaultsRequest
	switch a.action {
	case ActionFailAll:
		f.FailAll = true
	case ActionSlow:
		f.SlowFactor = slowFactor
	case ActionFreeze:
		f.Freeze = true
	case ActionLeave:
		f.Leaving = true
	case ActionDisconnectBeforeStart:
		f.Disconnect = "before"
	case ActionDisconnectAfterStart:
		f.Disconnect = "after-start"
	case ActionDisconnectInReply:
		f.Disconnect = "reply"
	case ActionWrongID:
		f.WrongID = true
	case ActionDuplicateReplies:
		f.DuplicateReplies = true
	case ActionHeal:
	default:
		return nil, false
	}
	return mustMarshal(f), true
}

// platformFaultsBody returns the request body that sets the faults of the platform.
// It returns false if the action is not one on the platform.
func (a ScheduledAction) platformFaultsBody() ([]byte, bool) {
	var f platformFaultsRequest
	switch a.action {
	case ActionPlatformDown:
		f.Down = true
	case ActionPlatformSlow:
		f.DelayMS = int64(a.value)
	case ActionPlatformLoseReplies:
		f.LoseReplies = true
	case ActionPlatformUp:
	default:
		return nil, false
	}
	return mustMarshal(f), true
}

// mustMarshal returns the JSON encoding of a faults request, which can't fail: the
// fields are booleans, finite numbers and strings.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

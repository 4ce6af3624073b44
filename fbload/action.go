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

// Action is what happens at a moment of a load.
type Action string

// The acts. Those on targets take the share of targets that they hit, rate
// takes a share of capacity, platform-slow takes milliseconds.
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

// slowFactor is by how much ActSlow multiplies run times.
const slowFactor = 10

// ScheduledAction is an act at a stated time of a load.
type ScheduledAction struct {
	at     time.Duration
	action Action
	value  float64
}

// NewScheduledAction returns the moment, counted from the start of the load, at which
// the act happens.
func NewScheduledAction(at time.Duration, action Action, value float64) ScheduledAction {
	return ScheduledAction{at: at, action: action, value: value}
}

// At returns when the act happens, since the start of the load.
func (m ScheduledAction) At() time.Duration { return m.at }

// Action returns what happens.
func (m ScheduledAction) Action() Action { return m.action }

// Value returns the act's value.
func (m ScheduledAction) Value() float64 { return m.value }

// String returns the text that ParseMoment reads.
func (m ScheduledAction) String() string {
	return m.at.String() + "=" + string(m.action) + ":" + strconv.FormatFloat(m.value, 'g', -1, 64)
}

// ParseScheduledAction reads a moment from text such as 10s=fail-all:0.1, 20s=heal or
// 15s=rate:1.5.
func ParseScheduledAction(text string) (ScheduledAction, error) {
	atText, actionText, ok := strings.Cut(text, "=")
	if !ok {
		return ScheduledAction{}, eris.Errorf("moment %q is not TIME=ACT or TIME=ACT:VALUE", text)
	}
	at, err := time.ParseDuration(atText)
	if err != nil || at < 0 {
		return ScheduledAction{}, eris.Errorf("moment %q: %q is not a time since the start such as 10s", text, atText)
	}
	name, valueText, hasValue := strings.Cut(actionText, ":")
	minValue, maxValue, ok := Action(name).bounds()
	if !ok {
		return ScheduledAction{}, eris.Errorf("moment %q: unknown act %q", text, name)
	}
	if !hasValue && minValue == 0 {
		return NewScheduledAction(at, Action(name), 0), nil
	}
	value, err := strconv.ParseFloat(valueText, 64)
	if err != nil || !(value >= minValue && value <= maxValue) {
		return ScheduledAction{}, eris.Errorf("moment %q: the value %q is not in %g to %g", text, valueText, minValue, maxValue)
	}
	return NewScheduledAction(at, Action(name), value), nil
}

// bounds returns the least and greatest value of an act. A least of zero means
// that the value may be left out.
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

// rateSchedule returns the share of capacity at each moment.
func rateSchedule(initialRate float64, actions []ScheduledAction) func(time.Duration) float64 {
	sorted := slices.SortedStableFunc(slices.Values(actions), func(a, b ScheduledAction) int { return cmp.Compare(a.at, b.at) })
	return func(at time.Duration) float64 {
		rate := initialRate
		for _, m := range sorted {
			if m.action == ActionRate && m.at <= at {
				rate = m.value
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

// targetFaultsBody returns the body that switches a target's faults, or false if the
// act is not one on targets.
func (m ScheduledAction) targetFaultsBody() ([]byte, bool) {
	var f targetFaultsRequest
	switch m.action {
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

// platformFaultsBody returns the body that switches the platform's faults, or false
// if the act is not one on the platform.
func (m ScheduledAction) platformFaultsBody() ([]byte, bool) {
	var f platformFaultsRequest
	switch m.action {
	case ActionPlatformDown:
		f.Down = true
	case ActionPlatformSlow:
		f.DelayMS = int64(m.value)
	case ActionPlatformLoseReplies:
		f.LoseReplies = true
	case ActionPlatformUp:
	default:
		return nil, false
	}
	return mustMarshal(f), true
}

// mustMarshal encodes a struct of plain fields, which can't fail.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

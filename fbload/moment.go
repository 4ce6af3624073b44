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

// Act is what happens at a moment of a load.
type Act string

// The acts. Those on targets take the share of targets that they hit, rate
// takes a share of capacity, platform-slow takes milliseconds.
const (
	ActRate         Act = "rate"
	ActFailAll      Act = "fail-all"
	ActSlow         Act = "slow"
	ActFreeze       Act = "freeze"
	ActLeave        Act = "leave"
	ActCutBefore    Act = "cut-before"
	ActCutStarted   Act = "cut-started"
	ActCutReply     Act = "cut-reply"
	ActWrongID      Act = "wrong-id"
	ActTwice        Act = "twice"
	ActHeal         Act = "heal"
	ActPlatformDown Act = "platform-down"
	ActPlatformSlow Act = "platform-slow"
	ActPlatformLose Act = "platform-lose"
	ActPlatformUp   Act = "platform-up"
)

// slowFactor is by how much ActSlow multiplies run times.
const slowFactor = 10

// Moment is an act at a stated time of a load.
type Moment struct {
	at    time.Duration
	act   Act
	value float64
}

// NewMoment returns the moment, counted from the start of the load, at which
// the act happens.
func NewMoment(at time.Duration, act Act, value float64) Moment {
	return Moment{at: at, act: act, value: value}
}

// At returns when the act happens, since the start of the load.
func (m Moment) At() time.Duration { return m.at }

// Act returns what happens.
func (m Moment) Act() Act { return m.act }

// Value returns the act's value.
func (m Moment) Value() float64 { return m.value }

// String returns the text that ParseMoment reads.
func (m Moment) String() string {
	return m.at.String() + "=" + string(m.act) + ":" + strconv.FormatFloat(m.value, 'g', -1, 64)
}

// ParseMoment reads a moment from text such as 10s=fail-all:0.1, 20s=heal or
// 15s=rate:1.5.
func ParseMoment(text string) (Moment, error) {
	when, what, ok := strings.Cut(text, "=")
	if !ok {
		return Moment{}, eris.Errorf("moment %q is not TIME=ACT or TIME=ACT:VALUE", text)
	}
	at, err := time.ParseDuration(when)
	if err != nil || at < 0 {
		return Moment{}, eris.Errorf("moment %q: %q is not a time since the start such as 10s", text, when)
	}
	name, valueText, hasValue := strings.Cut(what, ":")
	low, high, ok := Act(name).bounds()
	if !ok {
		return Moment{}, eris.Errorf("moment %q: unknown act %q", text, name)
	}
	if !hasValue && low == 0 {
		return NewMoment(at, Act(name), 0), nil
	}
	value, err := strconv.ParseFloat(valueText, 64)
	if err != nil || !(value >= low && value <= high) {
		return Moment{}, eris.Errorf("moment %q: the value %q is not in %g to %g", text, valueText, low, high)
	}
	return NewMoment(at, Act(name), value), nil
}

// bounds returns the least and greatest value of an act. A least of zero means
// that the value may be left out.
func (a Act) bounds() (low, high float64, ok bool) {
	switch a {
	case ActRate:
		return 0.001, 10, true
	case ActFailAll, ActSlow, ActFreeze, ActLeave, ActCutBefore, ActCutStarted, ActCutReply, ActWrongID, ActTwice:
		return 0.001, 1, true
	case ActPlatformSlow:
		return 1, 60_000, true
	case ActHeal, ActPlatformDown, ActPlatformLose, ActPlatformUp:
		return 0, 0, true
	default:
		return 0, 0, false
	}
}

// rateOver returns the share of capacity at each moment.
func rateOver(first float64, moments []Moment) func(time.Duration) float64 {
	sorted := slices.SortedStableFunc(slices.Values(moments), func(a, b Moment) int { return cmp.Compare(a.at, b.at) })
	return func(at time.Duration) float64 {
		rate := first
		for _, m := range sorted {
			if m.act == ActRate && m.at <= at {
				rate = m.value
			}
		}
		return rate
	}
}

type targetFault struct {
	FailAll    bool    `json:"fail_all"`
	SlowFactor float64 `json:"slow_factor"`
	Freeze     bool    `json:"freeze"`
	Leaving    bool    `json:"leaving"`
	Cut        string  `json:"cut"`
	WrongID    bool    `json:"wrong_id"`
	Twice      bool    `json:"twice"`
}

type platformFault struct {
	Down        bool  `json:"down"`
	SlowMS      int64 `json:"slow_ms"`
	LoseReplies bool  `json:"lose_replies"`
}

// targetBody returns the body that switches a target's faults, or false if the
// act is not one on targets.
func (m Moment) targetBody() ([]byte, bool) {
	var f targetFault
	switch m.act {
	case ActFailAll:
		f.FailAll = true
	case ActSlow:
		f.SlowFactor = slowFactor
	case ActFreeze:
		f.Freeze = true
	case ActLeave:
		f.Leaving = true
	case ActCutBefore:
		f.Cut = "before"
	case ActCutStarted:
		f.Cut = "after-start"
	case ActCutReply:
		f.Cut = "reply"
	case ActWrongID:
		f.WrongID = true
	case ActTwice:
		f.Twice = true
	case ActHeal:
	default:
		return nil, false
	}
	return mustJSON(f), true
}

// platformBody returns the body that switches the platform's faults, or false
// if the act is not one on the platform.
func (m Moment) platformBody() ([]byte, bool) {
	var f platformFault
	switch m.act {
	case ActPlatformDown:
		f.Down = true
	case ActPlatformSlow:
		f.SlowMS = int64(m.value)
	case ActPlatformLose:
		f.LoseReplies = true
	case ActPlatformUp:
	default:
		return nil, false
	}
	return mustJSON(f), true
}

// mustJSON encodes a struct of plain fields, which can't fail.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

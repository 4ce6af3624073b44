// Package fbevent defines the numbered log events. Every line that a filbertford
// process logs is one of these events.
package fbevent

import (
	"cmp"
	"slices"

	"github.com/charmbracelet/log"
)

// Event is a kind of log line: a number whose meaning never changes, a level and
// a text. docs/EVENTS.md lists all events.
type Event struct {
	id    string
	level log.Level
	text  string
}

// catalogue lists the events in the order of their declaration.
var catalogue []Event

// ID returns the event's number, such as FE1001.
func (e Event) ID() string { return e.id }

// Level returns the level that the event is logged at.
func (e Event) Level() log.Level { return e.level }

// Text returns the message of the log line.
func (e Event) Text() string { return e.text }

// Log logs the event with its number and the fields in keyvals, which are
// alternating keys and values.
func (e Event) Log(l *log.Logger, keyvals ...any) {
	l.Log(e.level, e.text, append([]any{"event", e.id}, keyvals...)...)
}

// Catalogue returns all events in the order of their numbers.
func Catalogue() []Event {
	out := slices.Clone(catalogue)
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.id, b.id) })
	return out
}

func infoEvent(id, text string) Event  { return declare(id, log.InfoLevel, text) }
func warnEvent(id, text string) Event  { return declare(id, log.WarnLevel, text) }
func errorEvent(id, text string) Event { return declare(id, log.ErrorLevel, text) }

func declare(id string, level log.Level, text string) Event {
	e := Event{id: id, level: level, text: text}
	catalogue = append(catalogue, e)
	return e
}

// Package fbevent holds the catalogue of numbered log events. Every log line
// of a filbertford process is an event of this catalogue.
package fbevent

import (
	"cmp"
	"slices"

	"github.com/charmbracelet/log"
)

// Event is a kind of log line: a number that never changes its meaning, a
// level and a text. The table of all events stands in docs/EVENTS.md.
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

// Text returns what happened, without particulars.
func (e Event) Text() string { return e.text }

// Log writes the event with its particulars, alternating keys and values.
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

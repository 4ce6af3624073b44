// Package fblog writes log lines without ever holding up the writer: lines wait
// in a bounded queue, those beyond it are counted and left out, and so are those
// of an event that comes too often.
package fblog

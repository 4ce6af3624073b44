// Package fbcommand implements the commands of the program filbertford, the
// command line for callers and operators. docs/CLI.md describes them.
package fbcommand

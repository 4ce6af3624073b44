// Command runner plays one case of the review: it starts stand-ins of the platform's
// store, of workers and of clients, starts daemons as processes with the command of the
// deploy file, causes the disruption of the case and checks one rule of the users' pages.
package main

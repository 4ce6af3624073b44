package fbnode

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbfleet"
)

// memberRow is a daemon's row of the table of nodes.
type memberRow struct {
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Weight      int    `json:"weight"`
}

// mirrors returns what keeps the daemon's copies of tables.
func (n *Node) mirrors() []*mirror {
	applies := map[filbertford.TableName]func(now time.Duration, full bool, s filbertford.Snapshot){
		filbertford.TableRoutes:  n.routesChanged,
		filbertford.TableTargets: n.targetsChanged,
		filbertford.TableNodes:   n.nodesChanged,
	}
	var out []*mirror
	for table, apply := range applies {
		m := &mirror{
			store: n.parts.Store, table: table, log: n.parts.Log,
			pace: func() time.Duration { return 0 },
			apply: func(full bool, s filbertford.Snapshot) {
				n.post(func(now time.Duration) { apply(now, full, s) })
			},
		}
		if table == filbertford.TableTargets {
			m.pace, m.hurry = n.targetPace, n.readTargets
		}
		out = append(out, m)
	}
	return out
}

// targetPace returns the time between two reads of the targets' records.
func (n *Node) targetPace() time.Duration {
	if n.owning.Load() {
		return ownerPace
	}
	return idlePace
}

// hurryTargets lets the targets' records be read at once: an owner must not go
// by old ones.
func (n *Node) hurryTargets() {
	select {
	case n.readTargets <- struct{}{}:
	default:
	}
}

func (n *Node) routesChanged(_ time.Duration, _ bool, s filbertford.Snapshot) {
	for _, c := range s.Changes() {
		if n.parts.Decoder.IsRoutes(c.Row()) && !c.Removed() {
			n.applyRoutes(c.Row().Value(), "store")
		}
	}
}

// applyRoutes puts routes in force if they are newer than those at hand.
func (n *Node) applyRoutes(value []byte, source string) {
	r, err := n.parts.Decoder.DecodeRoutes(value)
	if err != nil {
		fbevent.RoutesRefused.Log(n.parts.Log, "source", source, "error", err)
		return
	}
	if r.Version() <= n.routesVersion() {
		return
	}
	n.routesValue = value
	n.routes.Store(r)
	fbevent.RoutesInForce.Log(n.parts.Log, "version", r.Version(), "routes", r.Len(), "source", source)
}

func (n *Node) targetsChanged(now time.Duration, full bool, s filbertford.Snapshot) {
	if n.table.apply(now, full, s) {
		n.recordsChanged(now)
	}
}

// recordsChanged gives the pools their targets.
func (n *Node) recordsChanged(now time.Duration) {
	n.setPools()
	for id, p := range n.pools {
		p.SetTargets(now, n.table.pool(id))
	}
}

func (n *Node) nodesChanged(now time.Duration, _ bool, s filbertford.Snapshot) {
	for _, c := range s.Changes() {
		if c.Removed() {
			continue
		}
		m, err := decodeMember(c.Row())
		if err != nil {
			fbevent.RecordMalformed.Log(n.parts.Log, "node", c.Row().Key(), "version", c.Row().Version(), "error", err)
			continue
		}
		n.fleet.Learn(now, m)
	}
	n.hub.SetMembers(n.linkTargets(now, n.fleet.Members()))
}

func decodeMember(row filbertford.Row) (fbfleet.Member, error) {
	var b memberRow
	if err := json.Unmarshal(row.Value(), &b); err != nil {
		return fbfleet.Member{}, eris.Wrap(err, "decoding a daemon's row")
	}
	return fbfleet.NewMember(filbertford.NodeID(row.Key()), b.Incarnation, b.Address, filbertford.DataCentre(b.Zone), b.Weight), nil
}

// register writes the daemon's row, so that others find it.
func (n *Node) register(ctx context.Context) error {
	m := n.opts.Member
	value, err := json.Marshal(memberRow{Incarnation: m.Incarnation(), Address: m.Address(), Zone: string(m.Zone()), Weight: m.Weight()})
	if err != nil {
		return eris.Wrap(err, "encoding the daemon's row")
	}
	pause := firstPause
	for ctx.Err() == nil {
		err := n.writeMember(ctx, value)
		if err == nil {
			fbevent.NodeRegistered.Log(n.parts.Log, "node", m.Node())
			break
		}
		if !errors.Is(err, filbertford.ErrConflict) {
			fbevent.StoreLost.Log(n.parts.Log, "table", filbertford.TableNodes, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, longestPause)
	}
	<-ctx.Done()
	return ctx.Err()
}

func (n *Node) writeMember(ctx context.Context, value []byte) error {
	snap, err := n.parts.Store.List(ctx, filbertford.TableNodes, "")
	if err != nil {
		return err
	}
	key := string(n.opts.Member.Node())
	var version uint64
	for _, c := range snap.Changes() {
		if c.Row().Key() == key {
			version = c.Row().Version()
		}
	}
	t := filbertford.NewTransaction("").Expect(filbertford.TableNodes, key, version).Put(filbertford.TableNodes, key, value)
	_, err = n.parts.Store.Commit(ctx, t)
	return err
}

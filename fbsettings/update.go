package fbsettings

import (
	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford/fbtree"
)

// Update is a message between daemons. It names the version that the sender has.
// Unless its body is empty, it also contains a version: either the full tree as INI
// text, or a delta, which is a list of the changes from a base version.
type Update struct {
	have    uint64
	base    uint64
	version uint64
	body    []byte
	delta   bool
}

// NewUpdate returns an update. Its fields are those of SettingsRequest and
// SettingsReply in fbwire/peer.proto.
func NewUpdate(have, base, version uint64, body []byte, delta bool) Update {
	return Update{have: have, base: base, version: version, body: body, delta: delta}
}

// Have returns the version in force at the sender, 0 for none.
func (u Update) Have() uint64 { return u.have }

// Base returns the version that a delta starts from.
func (u Update) Base() uint64 { return u.base }

// Version returns the version that the body contains.
func (u Update) Version() uint64 { return u.version }

// Body returns the encoded tree or changes, empty if the update has none.
func (u Update) Body() []byte { return u.body }

// Delta reports whether the body holds changes.
func (u Update) Delta() bool { return u.delta }

// delta is the list of changes from a base version to another. For the first version
// of a replica the base is 0 and the list is empty.
type delta struct {
	base, version uint64
	changes       []fbtree.Change
}

// decodeTree returns the tree of an update that is not a delta.
func (u Update) decodeTree() (*fbtree.Tree, error) {
	text, err := decompress(u.body)
	if err != nil {
		return nil, err
	}
	tree, err := fbtree.Parse(text)
	if err != nil {
		return nil, eris.Wrapf(err, "version %d", u.version)
	}
	return tree.WithVersion(u.version), nil
}

// decodeDelta returns the delta of an update and the tree that results from
// applying it to the base.
func (u Update) decodeDelta(base *fbtree.Tree) (*fbtree.Tree, delta, error) {
	text, err := decompress(u.body)
	if err != nil {
		return nil, delta{}, err
	}
	changes, err := fbtree.DecodeChanges(text)
	if err != nil {
		return nil, delta{}, err
	}
	tree, err := base.Apply(changes...)
	if err != nil {
		return nil, delta{}, eris.Wrapf(err, "version %d on %d", u.version, u.base)
	}
	return tree.WithVersion(u.version), delta{base: u.base, version: u.version, changes: changes}, nil
}

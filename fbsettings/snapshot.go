package fbsettings

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbtree"
)

// snapshotHeader is the format of the first line of a snapshot: the version and the
// SHA-256 hash of the INI text that follows.
const snapshotHeader = "; settings version %d sha256 %s\n"

func snapshotKey(version uint64) string {
	return snapshotPrefix + strconv.FormatUint(version/SnapshotPeriod%snapshotSlots, 10)
}

func encodeSnapshot(tree *fbtree.Tree) []byte {
	body := tree.Encode()
	sum := sha256.Sum256(body)
	header := fmt.Sprintf(snapshotHeader, tree.Version(), hex.EncodeToString(sum[:]))
	return compress(append([]byte(header), body...))
}

func decodeSnapshot(data []byte) (*fbtree.Tree, error) {
	text, err := decompress(data)
	if err != nil {
		return nil, err
	}
	header, body, _ := bytes.Cut(text, []byte("\n"))
	var version uint64
	var digest string
	if _, err := fmt.Sscanf(string(header)+"\n", snapshotHeader, &version, &digest); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "snapshot: %v", err)
	}
	sum := sha256.Sum256(body)
	if hex.EncodeToString(sum[:]) != digest {
		return nil, eris.Wrapf(ErrMalformed, "snapshot of version %d does not match its hash", version)
	}
	tree, err := fbtree.Parse(body)
	if err != nil {
		return nil, err
	}
	return tree.WithVersion(version), nil
}

// loadFromSnapshot builds the tree of the head from the newest readable snapshot
// and the edits after it. Without such a snapshot it starts from the first edit.
func (s *Store) loadFromSnapshot(ctx context.Context, head Head) (*fbtree.Tree, error) {
	base := &fbtree.Tree{}
	for version := head.snapshot; version > 0; version -= SnapshotPeriod {
		if version%SnapshotPeriod != 0 || head.snapshot-version >= snapshotSlots*SnapshotPeriod {
			break
		}
		tree, err := s.readSnapshot(ctx, version)
		if err == nil {
			base = tree
			break
		}
		if errors.Is(err, filbertford.ErrUnavailable) {
			return nil, err
		}
	}
	return s.replay(ctx, base, head.version)
}

func (s *Store) readSnapshot(ctx context.Context, version uint64) (*fbtree.Tree, error) {
	data, err := s.objects.Get(ctx, snapshotKey(version))
	if err != nil {
		return nil, eris.Wrapf(err, "read snapshot of settings version %d", version)
	}
	tree, err := decodeSnapshot(data)
	if err != nil {
		return nil, err
	}
	if tree.Version() != version {
		return nil, eris.Wrapf(ErrVersionOverwritten, "snapshot of version %d holds version %d", version, tree.Version())
	}
	return tree, nil
}

// takeSnapshot writes the tree of the last multiple of SnapshotPeriod to the object
// store, unless the head already names that snapshot, and returns the version of the newest
// snapshot. Concurrent writers of a version write the same bytes, so they need no
// coordination. If the snapshot can't be written, the next edit tries again.
func (s *Store) takeSnapshot(ctx context.Context, head Head, tree *fbtree.Tree) uint64 {
	version := head.version - head.version%SnapshotPeriod
	if version <= head.snapshot {
		return head.snapshot
	}
	older, err := s.revert(ctx, tree, version)
	if err != nil {
		return head.snapshot
	}
	if err := s.objects.Put(ctx, snapshotKey(version), encodeSnapshot(older)); err != nil {
		return head.snapshot
	}
	return version
}

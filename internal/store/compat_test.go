package store

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.etcd.io/bbolt"

	"dahliaford/internal/store/lifecycle"
)

// version2Items returns the items in testdata/v2.db. Each effect of a class, each outcome of an attempt, each
// verdict and each field of a record occurs at least once.
func version2Items() map[string]*lifecycle.Item {
	attempt := func(worker, rack string, at, ended lifecycle.Micros,
		outcome lifecycle.Outcome) lifecycle.Attempt {
		return lifecycle.Attempt{Worker: worker, Rack: rack, At: at, Ended: ended, Outcome: outcome}
	}
	all := map[string]*lifecycle.Item{}
	for _, it := range []*lifecycle.Item{
		{ID: "accepted", Class: "post-reading", Tenant: "sahel", Object: "17", Key: "k-1",
			Body: []byte("4211\x00\xff"), Effect: lifecycle.Once, Accepted: 1_000_000, Deadline: 9_000_000},
		{ID: "bare", Deadline: 1},
		{ID: "routed", Class: "post-reading", Effect: lifecycle.Once, Accepted: 1_000_000, Deadline: 9_000_000,
			Attempts: []lifecycle.Attempt{attempt("s-1", "north/0", 2_000_000, 0, lifecycle.Unfinished)}},
		{ID: "never-ran", Class: "district-batch", Effect: lifecycle.Rack, Window: 30_000_000, Accepted: 1_000_000,
			Deadline: 9_000_000,
			Attempts: []lifecycle.Attempt{attempt("s-1", "north/0", 2_000_000, 3_000_000, lifecycle.NeverRan)}},
		{ID: "may-have-run", Class: "district-batch", Effect: lifecycle.Rack, Window: 30_000_000,
			Accepted: 1_000_000, Deadline: 9_000_000, Attempts: []lifecycle.Attempt{
				attempt("s-1", "north/0", 2_000_000, 3_000_000, lifecycle.MayHaveRun),
				attempt("s-2", "north/0", 4_000_000, 0, lifecycle.Unfinished)}},
		{ID: "done", Class: "invoice", Effect: lifecycle.Anywhere, Window: 30_000_000, Accepted: 1_000_000,
			Deadline: 9_000_000, Result: []byte("r"), Attempts: []lifecycle.Attempt{
				attempt("s-1", "north/0", 2_000_000, 3_000_000, lifecycle.MayHaveRun),
				attempt("s-9", "south/1", 4_000_000, 5_000_000, lifecycle.Done)}},
		{ID: "served", Class: "lookup", Effect: lifecycle.Safe, Accepted: 1_000_000, Deadline: 9_000_000,
			Attempts: []lifecycle.Attempt{attempt("s-1", "north/0", 2_000_000, 3_000_000, lifecycle.Done)},
			Verdict:  lifecycle.Served, Result: []byte("result"), Answered: 4_000_000, KeepUntil: 8_000_000},
		{ID: "failed", Class: "post-reading", Effect: lifecycle.Once, Accepted: 1_000_000, Deadline: 9_000_000,
			Attempts: []lifecycle.Attempt{attempt("s-1", "north/0", 2_000_000, 3_000_000, lifecycle.MayHaveRun)},
			Verdict:  lifecycle.Failed, Answered: 4_000_000, KeepUntil: 8_000_000},
		{ID: "expired", Class: "post-reading", Effect: lifecycle.Once, Accepted: 1_000_000, Deadline: 9_000_000,
			Verdict: lifecycle.Expired, Answered: 9_000_000, KeepUntil: 12_000_000},
	} {
		all[it.ID] = it
	}
	return all
}

// TestFileOfVersion2 guards against an unintended change of the format on disk. A file that an earlier
// release wrote in format version 2 must have the expected items, count and latest commit time, and this
// version must encode each item to the same bytes as in the file. testdata/v2.db must never be regenerated.
func TestFileOfVersion2(t *testing.T) {
	raw, err := os.ReadFile("testdata/v2.db")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "jobs")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	want := version2Items()
	if items, faults, err := Check(path); err != nil || len(faults) > 0 || items != len(want) {
		t.Errorf("Check returns %d items, want %d items; faults %v, want none; error %v, want none",
			items, len(want), faults, err)
	}
	s := openStore(t, Config{Path: path})
	if diff := cmp.Diff(want, readAll(t, s)); diff != "" {
		t.Error(diff)
	}
	if commitTime, err := s.disk.commitTime(); err != nil || commitTime < 1_700_000_000_000_000 {
		t.Errorf(
			"latest commit is at %d microseconds since 1970, want a time after 2023-11-14; error %v, want none",
			commitTime, err)
	}
	err = s.disk.(*bolt).db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(itemsBucket).ForEach(func(id, record []byte) error {
			c := Change{Item: want[string(id)]}
			if err := c.encode(); err != nil {
				return err
			}
			if !bytes.Equal(record, c.record) {
				t.Errorf("item %q: this version encodes it as %q, want %q, the record in the file of version 2",
					id, c.record, record)
			}
			return nil
		})
	})
	if err != nil {
		t.Error(err)
	}
}

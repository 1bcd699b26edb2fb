package standin

import (
	"database/sql/driver"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/position"
)

var valueGenerator = rapid.Custom(func(t *rapid.T) driver.Value {
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return nil
	case 1:
		return rapid.Int64().Draw(t, "integer")
	case 2:
		return rapid.Float64().Draw(t, "float")
	case 3:
		return rapid.String().Draw(t, "text")
	}
	return rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "bytes")
})

// Guards against an entry that a replica decodes differently from what the primary
// logged.
func TestEntryRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := entry{
			lsn:  position.LSN(rapid.Uint64().Draw(t, "lsn")),
			term: position.Term{Epoch: rapid.Uint64().Draw(t, "epoch"), Sequence: rapid.Uint64().Draw(t, "sequence")},
		}
		for range rapid.IntRange(0, 3).Draw(t, "statements") {
			e.statements = append(e.statements, logStatement{
				sql:    rapid.String().Draw(t, "sql"),
				schema: rapid.Bool().Draw(t, "schema"),
				args:   rapid.SliceOfN(valueGenerator, 1, 3).Draw(t, "args"),
				at:     time.Unix(0, rapid.Int64Min(0).Draw(t, "at")),
			})
		}
		data, err := appendEntry(nil, e)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeEntry(data[1:])
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, e) {
			t.Fatalf("got %+v, want %+v", got, e)
		}
	})
}

// Guards against a position that is confirmed although no majority received it.
func TestMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 7).Draw(t, "size")
		own := rapid.Uint64Range(0, 9).Draw(t, "own")
		others := rapid.SliceOfN(rapid.Uint64Range(0, 9), 0, size-1).Draw(t, "others")
		got := majorityOf(size, own, others)
		reached := func(n uint64) int {
			count := 0
			for _, v := range append(slices.Clone(others), own) {
				if v >= n {
					count++
				}
			}
			return count
		}
		if got > 0 && 2*reached(got) <= size {
			t.Fatalf("%d is reached by %d of %d", got, reached(got), size)
		}
		if 2*reached(got+1) > size {
			t.Fatalf("%d is also reached by a majority", got+1)
		}
	})
}

// Guards against a history that differs from the entries of the log after any sequence
// of promotions and truncations.
func TestHistoryMatchesEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &state{}
		term := position.Term{Epoch: 1}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				term.Sequence++
				fallthrough
			case 1, 2:
				s.appendEntry(entry{lsn: s.lastLSN() + 1, term: term})
			case 3:
				s.truncate(position.LSN(rapid.Uint64Range(0, uint64(s.lastLSN())).Draw(t, "to")))
				term.Sequence++
			}
			var want position.History
			for _, e := range s.entries {
				if len(want) == 0 || want[len(want)-1].Term != e.term {
					want = append(want, position.TermStart{Term: e.term, Start: e.lsn - 1})
				}
			}
			if !slices.Equal(s.history, want) {
				t.Fatalf("history %v, want %v", s.history, want)
			}
		}
	})
}

// Guards against messages of an old term that arrive while the term is being raised:
// their entries must be neither stored nor acknowledged, and a commit that has passed
// its first check must not be logged.
func TestOldTermIsRejected(t *testing.T) {
	i := New(Config{})
	if err := i.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer i.Discard()
	first, second := position.Term{Epoch: 1, Sequence: 1}, position.Term{Epoch: 1, Sequence: 2}
	for _, step := range []func() error{
		func() error { _, err := i.RaiseTerm(first); return err },
		func() error { _, err := i.Promote(first); return err },
	} {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
	i.mu.Lock()
	w := i.writer
	f := &follower{inst: i, term: first, cancel: func() {}}
	i.mu.Unlock()
	if _, err := i.RaiseTerm(second); err != nil {
		t.Fatal(err)
	}
	if _, ok := i.appendCommit(w, []logStatement{{sql: "SELECT 1"}}); ok {
		t.Error("a commit of the old term was logged")
	}
	if i.acknowledge(first, "other", 1, 1) {
		t.Error("an acknowledgement of the old term was counted")
	}
	if err := i.receiveEntry(f, entry{lsn: 2, term: first}); err == nil {
		t.Error("an entry of the old term was stored")
	}
	if _, err := i.positionToAcknowledge(f); err == nil {
		t.Error("an entry was acknowledged to the old primary")
	}
	if end := i.Status().Received; end != 1 {
		t.Errorf("the log ends at %d, want 1", end)
	}
}

// Guards against a panic on a malformed message from another instance.
func FuzzDecodeEntry(f *testing.F) {
	data, err := appendEntry(nil, entry{lsn: 1, statements: []logStatement{{sql: "x", args: []driver.Value{int64(1), "t", nil}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data[1:])
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeEntry(data)
	})
}

// Guards against a panic on any statement that a client sends.
func FuzzParse(f *testing.F) {
	for _, sql := range []string{
		"SELECT a::int, $1 FROM generate_series(1, 2) AS g(x) WHERE n = ANY('{1}') /* c */ -- d",
		"INSERT INTO public.t (a, b) VALUES ($1, now()) ON CONFLICT DO NOTHING RETURNING *",
		"CREATE TABLE t (id bigint GENERATED ALWAYS AS IDENTITY, at timestamp with time zone DEFAULT now())",
		"SET x TO 'a', b; SHOW time zone; ROLLBACK TO SAVEPOINT a; SELECT cluster_read_guard('', -1, -1)",
		"TRUNCATE", "SELECT E'\\n'", "::", ") ::int", "generate_series(",
	} {
		f.Add(sql)
	}
	db, err := openDatabase(nil, func() bool { return false })
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(_ *testing.T, sql string) {
		parts, err := splitStatements(sql)
		if err != nil {
			return
		}
		for _, tokens := range parts {
			st, err := parse(tokens)
			if err != nil {
				continue
			}
			if st.params < 100 {
				parameterTypes(db, st, nil)
			}
			columnNames(st, make([]column, len(selectItems(st.tokens))))
			for _, item := range selectItems(st.tokens) {
				newTypeInference(db, st).itemType(item)
			}
		}
	})
}

package frontend

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/wire"
)

// Guards against statements that are routed to the wrong instance, and against
// unsupported statements that are not recognized.
func TestClassify(t *testing.T) {
	cases := map[string]Class{
		"":                                     ClassEmpty,
		" ; -- x\n ;":                          ClassEmpty,
		"select 1":                             ClassRead,
		"(select 1) union (select 2)":          ClassRead,
		"with a as (select 1) select * from a": ClassRead,
		"WITH a AS (INSERT INTO t VALUES (1)) SELECT 1": ClassWrite,
		"select * from t for update":                    ClassWrite,
		"select * from t for key share":                 ClassWrite,
		"select share from t":                           ClassRead,
		"select 'insert into t; listen x'":              ClassRead,
		`select "update" from t`:                        ClassRead,
		"select $q$ listen $$ x $q$":                    ClassRead,
		"explain analyze insert into t values (1)":      ClassWrite,
		"select nextval('s')":                           ClassWrite,
		"truncate t":                                    ClassWrite,
		"begin":                                         ClassBegin,
		"start transaction read only":                   ClassBeginReadOnly,
		"BEGIN ISOLATION LEVEL SERIALIZABLE, READ ONLY": ClassBeginReadOnly,
		"begin read only; select 1":                     ClassBeginReadOnly,
		"begin; select 1":                               ClassBegin,
		"begin; insert into t values (1); commit":       ClassWrite,
		"begin read only; insert into t values (1)":     ClassWrite,
		"commit":                       ClassCommit,
		"end":                          ClassCommit,
		"rollback":                     ClassRollback,
		"rollback to savepoint a":      ClassRead,
		"commit and chain":             ClassUnsupported,
		"set timezone to 'UTC'":        ClassSet,
		"set time zone 'UTC'":          ClassSet,
		"set names 'utf8'":             ClassSet,
		"reset timezone":               ClassSet,
		"set session timezone = 'UTC'": ClassSet,
		"set session characteristics as transaction read only": ClassUnsupported,
		"set transaction read only":                            ClassRead,
		"set bramleylever.idempotent = on":                     ClassLocal,
		`set "bramleylever"."idempotent" = on`:                 ClassLocal,
		"show bramleylever.session_id":                         ClassLocal,
		"show timezone":                                        ClassRead,
		"deallocate prepare all":                               ClassLocal,
		"deallocate p":                                         ClassUnsupported,
		"prepare transaction 'x'":                              ClassCommit,
		"discard temp":                                         ClassUnsupported,
		"create or replace temp view v as select 1":            ClassUnsupported,
		"create table temp_t (v int)":                          ClassWrite,
		"select * from pg_temp.t":                              ClassUnsupported,
		"select e'\\'; listen x'":                              ClassRead,
		"select U&'x' 'y'":                                     ClassRead,
		"unlisten *":                                           ClassLocal,
	}
	for sql, expected := range cases {
		if got := classify([]byte(sql), false); got.class != expected {
			t.Errorf("%q is %v, expected %v (%s)", sql, got.class, expected, got.reason)
		}
	}
	hidden := `select '\'; listen x; --'`
	if got := classify([]byte(hidden), true).class; got != ClassRead {
		t.Errorf("%q with backslash escapes is %v", hidden, got)
	}
	if got := classify([]byte(hidden), false).class; got != ClassUnsupported {
		t.Errorf("%q with standard strings is %v", hidden, got)
	}
}

// Guards against retries of statements that call functions which may write.
func TestClassifyCalls(t *testing.T) {
	for sql, calls := range map[string]bool{
		"select count(*) from t where v in (1, 2)": false,
		"select now(), coalesce(a, max(b)) from t": false,
		"select f(1)":          true,
		`select "count"(1)`:    true,
		"select public.now ()": false,
		"call p()":             true,
	} {
		if got := classify([]byte(sql), false).unknownCalls; got != calls {
			t.Errorf("%q: calls is %v", sql, got)
		}
	}
}

// Guards against crashes and endless loops on arbitrary input, and against
// comments that change the class.
func FuzzClassify(f *testing.F) {
	for _, seed := range []string{"select 1", "set a = 'b'; begin", "$x$ /* -- ' $x$", "U&\"", "e'\\", "set_config((", "/*/**/", "$1$"} {
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, sql []byte, backslashEscapes bool) {
		plain := classify(sql, backslashEscapes)
		commented := classify(append([]byte("/* listen */ -- copy\n"), sql...), backslashEscapes)
		if plain.class != commented.class {
			t.Fatalf("%q: %v, with comments %v", sql, plain.class, commented.class)
		}
	})
}

// Guards against crashes on arbitrary start-up messages, and against accepting
// one without a user.
func FuzzStartup(f *testing.F) {
	f.Add([]byte("\x00\x03\x00\x00user\x00k\x00database\x00d\x00options\x00-c a=b --c=d\\ e\x00\x00"))
	f.Add([]byte("\x00\x03\x00\x00"))
	f.Fuzz(func(t *testing.T, body []byte) {
		if len(body) < 4 {
			return
		}
		p, refused := parseStartup(body)
		if refused == nil && p.user == "" {
			t.Fatal("accepted without a user")
		}
		_ = newState("db", -1, 1<<20).applyStartup(p.settings)
	})
}

// Guards against crashes on arbitrary messages, and against accepted messages
// that get lost: after encoding, an answer must be pending for each of them.
func FuzzMessages(f *testing.F) {
	f.Add([]byte("P\x00\x00\x00\x11s\x00select 1\x00\x00\x00B\x00\x00\x00\x0d\x00s\x00\x00\x00\x00\x00\x00\x00E\x00\x00\x00\x09\x00\x00\x00\x00\x00S\x00\x00\x00\x04"))
	f.Add([]byte("Q\x00\x00\x00\x0dselect 1\x00D\x00\x00\x00\x06S\x00C\x00\x00\x00\x06P\x00"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		in := wire.NewReader(bytes.NewReader(stream), 1<<16)
		s := newState("db", -1, 1<<20)
		for {
			kind, frame, err := in.Next()
			if err != nil {
				return
			}
			fatal, refused := s.add(kind, frame)
			if fatal != nil || refused != nil {
				return
			}
			var p plan
			if s.plan(&p) != nil {
				continue
			}
			due := 0
			for _, m := range s.batch.messages {
				if m.kind != 'H' {
					due++
				}
			}
			if x := encodeAll(s, &p); len(x.pending) < due {
				t.Fatalf("%d pending answers for %d messages", len(x.pending), due)
			}
		}
	})
}

func encodeAll(s *state, p *plan) *exchange {
	x := &exchange{}
	c := &pool.Conn{Statements: pool.NewStatements(2), Parameters: map[string]string{}}
	x.reset(s, c, p, wire.NewWriter(&bytes.Buffer{}))
	x.encode(nil)
	return x
}

// batchCase is a batch of extended queries with the replies of the instance and
// the answer that the caller must receive.
type batchCase struct {
	requests, replies, expected []byte
}

// drawBatch draws a random batch of reads and statements that the proxy answers.
// Each read returns a distinct row, and one of them may fail.
func drawBatch(t *rapid.T) (batch batchCase) {
	add := func(kind byte, body string) {
		b, at := wire.Begin(batch.requests, kind)
		batch.requests = wire.End(append(b, body...), at)
	}
	both := func(frame []byte) {
		batch.replies = append(batch.replies, frame...)
		batch.expected = append(batch.expected, frame...)
	}
	failed := false
	for i := range rapid.IntRange(0, 5).Draw(t, "statements") {
		local := rapid.Bool().Draw(t, "local")
		sql := fmt.Sprintf("select %d", i)
		if local {
			sql = "set bramleylever.session_id = 'x'"
		}
		add('P', "\x00"+sql+"\x00\x00\x00")
		add('B', "\x00\x00\x00\x00\x00\x00\x00\x00")
		add('E', "\x00\x00\x00\x00\x00")
		if failed {
			continue
		}
		prepared := append(wire.AppendEmpty(nil, '1'), wire.AppendEmpty(nil, '2')...)
		if local {
			batch.expected = append(batch.expected, prepared...)
			batch.expected = wire.AppendCommandComplete(batch.expected, "SET")
			continue
		}
		both(prepared)
		both(appendTextRow(nil, sql))
		if rapid.IntRange(0, 4).Draw(t, "error") == 0 {
			both(wire.AppendErrorResponse(nil, "ERROR", "22012", sql))
			failed = true
			continue
		}
		both(wire.AppendCommandComplete(nil, "SELECT 1"))
	}
	add('S', "")
	batch.replies = wire.AppendReadyForQuery(batch.replies, 'I')
	return batch
}

// Guards against answers that are lost, reordered or matched with another
// request, in pipelined batches that mix errors with statements that the proxy
// answers.
func TestPromise9AnswersInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		batch := drawBatch(t)
		s := newState("db", -1, 1<<20)
		in := wire.NewReader(bytes.NewReader(batch.requests), 1<<16)
		for {
			kind, frame, err := in.Next()
			if err != nil {
				break
			}
			if fatal, refused := s.add(kind, frame); fatal != nil || refused != nil {
				t.Fatal(fatal, refused)
			}
		}
		var p plan
		if refused := s.plan(&p); refused != nil {
			t.Fatal(refused)
		}
		x := encodeAll(s, &p)
		out := &bytes.Buffer{}
		w := wire.NewWriter(out)
		x.out = w
		if err := x.answerPendingLocal(); err != nil {
			t.Fatal(err)
		}
		replies := wire.NewReader(bytes.NewReader(batch.replies), 1<<16)
		for !x.done() {
			kind, frame, err := replies.Next()
			if err != nil {
				t.Fatalf("answer missing: %v", err)
			}
			if err := x.answer(kind, frame); err != nil {
				t.Fatal(err)
			}
		}
		if err := x.releaseHeld(); err != nil {
			t.Fatal(err)
		}
		_ = w.Flush()
		if !bytes.Equal(out.Bytes(), batch.expected) || x.status != 'I' {
			t.Fatalf("got %q\nexpected %q", out.Bytes(), batch.expected)
		}
	})
}

// Guards against more retries than 10% of the requests plus 3 per second.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newRetryBudget()
		now := time.Unix(1000, 0)
		start := now
		requests, taken := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				b.deposit()
				requests++
			case 1:
				if b.tryWithdraw(now) {
					taken++
				}
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(-100, 1000).Draw(t, "ms")) * time.Millisecond)
			}
		}
		limit := float64(requests)*retryRatio + maxTimeTokens + max(now.Sub(start).Seconds(), 200)*retriesPerSecond
		if float64(taken) > limit {
			t.Fatalf("%d retries of %d requests in %v", taken, requests, now.Sub(start))
		}
	})
}

// Guards against parameter values that break out of their quotes.
func TestQuoteValue(t *testing.T) {
	for value, expected := range map[string]string{
		"a":              "'a'",
		"a'; drop table": "'a''; drop table'",
		`\'`:             `E'\\'''`,
	} {
		if got := quoteValue("timezone", value); got != expected {
			t.Errorf("%q: %s", value, got)
		}
	}
	if got := quoteValue("search_path", `a, "B ""c"`); got != `'a', 'B "c'` {
		t.Errorf("search path: %s", got)
	}
}

package records_test

import (
	"context"
	"errors"
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/platform/standin"
	"github.com/bramleylever/bramleylever/internal/records"
)

var _ = Describe("Client", func() {
	var (
		server *standin.Server
		ann    *records.Client
		bob    *records.Client
		ctx    = context.Background()
	)
	BeforeEach(func() {
		server = startStore()
		ann = records.NewClient(dialStore(server), "ann")
		bob = records.NewClient(dialStore(server), "bob")
	})

	// Guards against an operator who unknowingly overwrites the change of another.
	It("rejects a change of a record that another operator changed in the meantime", func() {
		_, err := ann.Apply(ctx, []records.Record{newAccount("growers", "5")})
		Expect(err).NotTo(HaveOccurred())
		read, ok, err := ann.Get(ctx, records.KindAccount, "growers")
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
		won, err := bob.Apply(ctx, []records.Record{newAccount("growers", "6")})
		Expect(err).NotTo(HaveOccurred())

		mine := newAccount("growers", "7")
		mine.ModRevision = read.ModRevision
		_, err = ann.Apply(ctx, []records.Record{mine})
		Expect(err).To(MatchError(outcome.ErrConflict))
		var conflict *records.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(*conflict).To(Equal(records.ConflictError{
			Kind: records.KindAccount, Name: "growers",
			Expected: read.ModRevision, Actual: won.Revision, Operator: "bob",
		}))
	})

	// Guards against concurrent changes that are valid by themselves but leave an
	// invalid configuration: here a key of a deleted account.
	It("keeps references valid under concurrent changes", func() {
		_, err := ann.Apply(ctx, []records.Record{newAccount("growers", "5")})
		Expect(err).NotTo(HaveOccurred())
		deleted := newAccount("growers", "5")
		deleted.Deleted = true
		var wait sync.WaitGroup
		wait.Add(2)
		go func() {
			defer wait.Done()
			_, _ = ann.Apply(ctx, []records.Record{deleted})
		}()
		go func() {
			defer wait.Done()
			_, _ = bob.Apply(ctx, []records.Record{newRecord(records.KindKey, "k1", 1, keyBody("growers"))})
		}()
		wait.Wait()
		set, revision, err := ann.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = set.Snapshot(revision)
		Expect(err).NotTo(HaveOccurred())
		Expect(set.Len()).To(BeElementOf(0, 2))
	})

	// Guards against conflict errors for changes of different records.
	It("commits all concurrent changes of different records", func() {
		const writers = 6
		var wait sync.WaitGroup
		errs := make([]error, writers)
		for i := range writers {
			wait.Add(1)
			go func() {
				defer wait.Done()
				_, errs[i] = ann.Apply(ctx, []records.Record{newAccount(fmt.Sprint("a", i), "5")})
			}()
		}
		wait.Wait()
		for _, err := range errs {
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// Guards against a change that is applied twice or reported as failed because
	// the store's reply was lost.
	It("reports success for a committed change whose reply was lost", func() {
		server.LoseAnswers(1)
		result, err := ann.Apply(ctx, []records.Record{newAccount("growers", "5")})
		Expect(err).NotTo(HaveOccurred())
		read, _, err := ann.Get(ctx, records.KindAccount, "growers")
		Expect(err).NotTo(HaveOccurred())
		Expect(read.ModRevision).To(Equal(result.Revision))
	})

	// Guards against revisions that change nothing but are distributed to every
	// host.
	It("writes nothing if the records stay the same", func() {
		first, err := ann.Apply(ctx, []records.Record{newAccount("growers", "5")})
		Expect(err).NotTo(HaveOccurred())
		unchanged, err := ann.Apply(ctx, []records.Record{newAccount("growers", "5.0")})
		Expect(err).NotTo(HaveOccurred())
		Expect(unchanged.Changed).To(BeEmpty())
		Expect(server.Revision()).To(Equal(first.Revision))
	})

	// Guards against an invalid configuration in the store: here a key of an
	// unknown account.
	It("rejects an invalid change and writes nothing", func() {
		_, err := ann.Apply(ctx, []records.Record{newRecord(records.KindKey, "k1", 1, keyBody("nobody"))})
		Expect(err).To(MatchError(ContainSubstring(`unknown account "nobody"`)))
		Expect(server.Revision()).To(Equal(int64(1)))
	})

	// Guards against a history that lacks the operator or the records of a change.
	It("lists the operator and the records of each change in the history", func() {
		first, err := ann.Apply(ctx, []records.Record{newAccount("growers", "5")})
		Expect(err).NotTo(HaveOccurred())
		gone := newAccount("growers", "5")
		gone.Deleted = true
		second, err := bob.Apply(ctx, []records.Record{gone})
		Expect(err).NotTo(HaveOccurred())
		history, err := ann.History(ctx, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(history).To(HaveLen(2))
		Expect(history[0].Revision).To(Equal(first.Revision))
		Expect(history[0].Operator).To(Equal("ann"))
		Expect(history[1].Revision).To(Equal(second.Revision))
		Expect(history[1].Records).To(Equal([]string{"account/growers"}))
	})
})

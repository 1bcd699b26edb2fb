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

	// Guards against an operator who overwrites a change without knowing it.
	It("refuses a change of a record that another operator changed since", func() {
		_, err := ann.Apply(ctx, []records.Record{account("growers", "5")})
		Expect(err).NotTo(HaveOccurred())
		read, ok, err := ann.Get(ctx, records.KindAccount, "growers")
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
		won, err := bob.Apply(ctx, []records.Record{account("growers", "6")})
		Expect(err).NotTo(HaveOccurred())

		mine := account("growers", "7")
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

	// Guards against a configuration that no single operator wrote and that is
	// not valid as a whole.
	It("keeps references valid under concurrent changes", func() {
		_, err := ann.Apply(ctx, []records.Record{account("growers", "5")})
		Expect(err).NotTo(HaveOccurred())
		gone := account("growers", "5")
		gone.Deleted = true
		var wait sync.WaitGroup
		wait.Add(2)
		go func() {
			defer wait.Done()
			_, _ = ann.Apply(ctx, []records.Record{gone})
		}()
		go func() {
			defer wait.Done()
			_, _ = bob.Apply(ctx, []records.Record{record(records.KindKey, "k1", 1, keyBody("growers"))})
		}()
		wait.Wait()
		set, revision, err := ann.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = set.Snapshot(revision)
		Expect(err).NotTo(HaveOccurred())
		Expect(set.Len()).To(BeElementOf(0, 2))
	})

	// Guards against false conflicts between changes of different records.
	It("lets concurrent changes of different records all succeed", func() {
		const writers = 6
		var wait sync.WaitGroup
		errs := make([]error, writers)
		for i := range writers {
			wait.Add(1)
			go func() {
				defer wait.Done()
				_, errs[i] = ann.Apply(ctx, []records.Record{account(fmt.Sprint("a", i), "5")})
			}()
		}
		wait.Wait()
		for _, err := range errs {
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// Guards against a change that is applied twice or reported as failed
	// because an answer was lost.
	It("reports a change whose answer was lost", func() {
		server.LoseAnswers(1)
		result, err := ann.Apply(ctx, []records.Record{account("growers", "5")})
		Expect(err).NotTo(HaveOccurred())
		read, _, err := ann.Get(ctx, records.KindAccount, "growers")
		Expect(err).NotTo(HaveOccurred())
		Expect(read.ModRevision).To(Equal(result.Revision))
	})

	// Guards against revisions that change nothing and disturb every host.
	It("writes nothing if nothing changes", func() {
		first, err := ann.Apply(ctx, []records.Record{account("growers", "5")})
		Expect(err).NotTo(HaveOccurred())
		again, err := ann.Apply(ctx, []records.Record{account("growers", "5.0")})
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Changed).To(BeEmpty())
		Expect(server.Revision()).To(Equal(first.Revision))
	})

	// Guards against an invalid configuration in the store.
	It("refuses a change that is not valid and writes nothing", func() {
		_, err := ann.Apply(ctx, []records.Record{record(records.KindKey, "k1", 1, keyBody("nobody"))})
		Expect(err).To(MatchError(ContainSubstring(`unknown account "nobody"`)))
		Expect(server.Revision()).To(Equal(int64(1)))
	})

	// Guards against a history that does not say who changed what.
	It("lists who changed which records", func() {
		first, err := ann.Apply(ctx, []records.Record{account("growers", "5")})
		Expect(err).NotTo(HaveOccurred())
		gone := account("growers", "5")
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

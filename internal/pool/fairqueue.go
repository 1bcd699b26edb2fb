package pool

// fairQueue is a bounded queue of requests per client account, served by deficit round robin
// (Shreedhar and Varghese, "Efficient Fair Queueing Using Deficit Round Robin", SIGCOMM 1995).
// Each request costs one unit and an account's quantum is its weight. It is deterministic: it
// reads no clock and takes no lock.
//
// Invariant: every request leaves the queue exactly once: by next, by remove or by being shed.
type fairQueue struct {
	limit  int
	length int
	// accounts holds every account that ever had a waiting request. Entries are never removed;
	// their number is small, because only operators add accounts.
	accounts map[string]*accountQueue
	// ring holds the accounts with waiting requests in round-robin order; the first is served
	// next.
	ring []*accountQueue
}

type accountQueue struct {
	name    string
	weight  int
	deficit int
	waiting []uint64
}

func newFairQueue(limit int) *fairQueue {
	return &fairQueue{limit: limit, accounts: map[string]*accountQueue{}}
}

// add appends a request. If this exceeds the limit, it sheds the newest request of the account
// with the most waiting requests per weight, which can be id itself, and returns its id.
func (q *fairQueue) add(account string, weight int, id uint64) (shed uint64, full bool) {
	a := q.accounts[account]
	if a == nil {
		a = &accountQueue{name: account}
		q.accounts[account] = a
	}
	if len(a.waiting) == 0 {
		q.ring = append(q.ring, a)
	}
	a.weight = max(weight, 1)
	a.waiting = append(a.waiting, id)
	q.length++
	if q.length <= q.limit {
		return 0, false
	}
	return q.shed(), true
}

// shed removes the newest request of the account with the most waiting requests per weight.
func (q *fairQueue) shed() uint64 {
	worst := q.ring[0]
	for _, a := range q.ring[1:] {
		if len(a.waiting)*worst.weight > len(worst.waiting)*a.weight {
			worst = a
		}
	}
	last := len(worst.waiting) - 1
	id := worst.waiting[last]
	worst.waiting = worst.waiting[:last]
	q.length--
	q.dropIfEmpty(worst)
	return id
}

// next removes and returns the request that is served next.
func (q *fairQueue) next() (id uint64, ok bool) {
	if q.length == 0 {
		return 0, false
	}
	a := q.ring[0]
	if a.deficit == 0 {
		a.deficit = a.weight
	}
	a.deficit--
	id = a.waiting[0]
	a.waiting = append(a.waiting[:0], a.waiting[1:]...)
	q.length--
	if a.deficit == 0 {
		copy(q.ring, q.ring[1:])
		q.ring[len(q.ring)-1] = a
	}
	q.dropIfEmpty(a)
	return id, true
}

// remove removes a request that no longer waits and reports whether it was queued.
func (q *fairQueue) remove(account string, id uint64) bool {
	a := q.accounts[account]
	if a == nil {
		return false
	}
	for i, waiting := range a.waiting {
		if waiting == id {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			q.length--
			q.dropIfEmpty(a)
			return true
		}
	}
	return false
}

// dropIfEmpty removes an account without waiting requests from the ring and resets its deficit,
// as deficit round robin requires.
func (q *fairQueue) dropIfEmpty(a *accountQueue) {
	if len(a.waiting) > 0 {
		return
	}
	a.deficit = 0
	for i, other := range q.ring {
		if other == a {
			q.ring = append(q.ring[:i], q.ring[i+1:]...)
			return
		}
	}
}

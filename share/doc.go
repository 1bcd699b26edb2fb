// Package share divides a limit of a whole fleet between its hosts. A limit is a
// rate with a burst (token bucket), or a number of whole units such as
// connections.
//
// One Owner per resource grants parts of the limit, and one Holder per host
// and resource uses them. Both are deterministic state machines without I/O: the
// caller passes the time in and transports Call and Answer messages between them.
// Messages may be lost, duplicated, delayed and reordered, and hosts may be paused
// or isolated.
//
// Invariants:
//
//   - Rates, capacities and token levels of all grants and of the owner's pool
//     never add up to more than the rate, burst and level of one ideal bucket,
//     so admissions in a window never exceed burst + rate * window.
//   - Tokens are conserved: an answer moves tokens from the pool to the holder,
//     a returned grant moves its level back, and the tokens of an expired grant
//     or a lost message are lost. Tokens that arrive late are limited to the
//     least room that the holder's grant had since the call was sent, because an
//     ideal bucket would have overflowed in the meantime.
//   - A holder measures validity on its own clock, starting before it sent the
//     call, and checks it at each use. The owner counts a grant for its validity and
//     a margin of 2%. Owner and holders refill at 98% of the rate. Both allow
//     for clock rates that differ by 1%.
//   - An answer is applied at most once and only while its call is the holder's
//     latest. The owner refuses a call older than the last one it handled. Until a
//     call confirms what the holder uses, the owner counts the larger of the last
//     confirmed and the last offered grant.
//   - The owner of a new epoch grants nothing beyond what holders report until
//     all grants of its predecessors have expired: the dynamic part after the
//     dynamic validity, the base part after the base validity. Reported grants
//     are adopted as far as they fit. Epochs start at 1 and never repeat, so the
//     owner of epoch 1 does not wait.
//   - After a limit is lowered, grants count until they are returned or expire;
//     until then the fleet may use the highest limit of the last base validity.
//     A later owner does not extend grants that were issued under a higher
//     limit before it knows all of them.
//   - A unit that a holder gives up is counted until the holder has closed its
//     connection. A paused process cannot close connections; it does not
//     use them after its units have expired.
//
// The division between hosts is max-min fair (water filling; Bertsekas and
// Gallager, Data Networks, section 6.5.2).
package share

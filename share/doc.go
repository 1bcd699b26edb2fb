// Package share divides a limit of a whole fleet between its hosts: a rate
// with a burst (token bucket), or a number of whole units such as connections.
//
// One Owner per resource grants parts of the limit, and one Holder per host
// and resource uses them. Both are deterministic cores: the caller passes the
// time and carries Call and Answer messages between them. Messages may be
// lost, repeated, delayed and reordered, and hosts may be paused or cut off.
//
// Invariants:
//
//   - Rates, capacities and token levels of all grants and of the owner's pool
//     never sum up to more than the rate, burst and level of one ideal bucket,
//     so admissions in a window never exceed burst + rate * window.
//   - Tokens are conserved: an answer moves tokens from the pool to the holder,
//     a returned grant moves its level back, and the tokens of an expired grant
//     or a lost message are gone. Tokens that arrive late are cut to the room
//     that the holder's part had since the call was sent, because an ideal
//     bucket would have overflowed meanwhile.
//   - A holder measures validity on its own clock from before it sent the call
//     and checks it at each use. The owner counts a grant for its validity and
//     a margin of 2%. Owner and holders refill at 98% of the rate. Both allow
//     for clock rates that differ by 1%.
//   - An answer is applied at most once and only while its call is the holder's
//     latest. A call older than the last one handled is refused. Until a call
//     confirms what the holder uses, the owner counts the larger of the last
//     confirmed and the last offered grant.
//   - An owner of a new epoch grants nothing beyond what holders report until
//     all grants of its predecessors have expired: the dynamic part after the
//     dynamic validity, the base part after the base validity. Reported grants
//     are adopted as far as they fit. Epochs start at 1 and never repeat, so
//     the owner of epoch 1 need not wait.
//   - After a limit is lowered, grants count until they are returned or expire;
//     until then the fleet may use the highest limit of the last base validity.
//     A later owner does not extend grants that were issued under a higher
//     limit before it knows all of them.
//   - A unit that a holder gives up stays counted until the holder has closed
//     its connection. A paused process cannot close connections; it does not
//     use them after its units have expired.
//
// The division between hosts is max-min fair (water filling; Bertsekas and
// Gallager, Data Networks, section 6.5.2).
package share

package standin

import (
	"fmt"
	"time"

	"github.com/bramleylever/bramleylever/position"
)

// rewind truncates the log to its common prefix with the primary's log and returns the
// new end. If it removes entries, it closes the data connections, and if some of these
// entries were applied, it rebuilds the database from the remaining log.
func (i *Instance) rewind(f *follower, primaryLog logDescription) (position.LSN, error) {
	i.applyMu.Lock()
	defer i.applyMu.Unlock()
	common, entries, err := i.truncateForkEntries(f, primaryLog)
	if err != nil || entries == nil {
		return common, err
	}
	db, err := rebuildDatabase(entries, i.replica.Load)
	i.mu.Lock()
	defer i.mu.Unlock()
	// If the rebuild failed, the database stays closed: reads then fail instead of
	// returning data of the fork.
	i.db.close()
	if err != nil {
		return 0, err
	}
	i.db = db
	i.state.applied = common
	// Connections that were opened during the rebuild may have read the old database.
	i.closeDataConnections()
	i.broadcastLocked()
	return common, nil
}

// truncateForkEntries removes the entries that the primary doesn't have. It returns the
// remaining entries if the database must be rebuilt from them, otherwise nil.
func (i *Instance) truncateForkEntries(f *follower, primaryLog logDescription) (position.LSN, []entry, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.follower != f {
		return 0, nil, errTermOver
	}
	st := &i.state
	common := position.CommonPrefix(st.history, primaryLog.History, st.lastLSN(), primaryLog.End)
	if common >= st.lastLSN() {
		return common, nil, nil
	}
	st.truncate(common)
	st.freshnessSamples, st.freshAsOf = nil, time.Time{}
	i.closeDataConnections()
	rebuild := st.applied > common
	if rebuild {
		st.applied = 0
	}
	i.broadcastLocked()
	if !rebuild {
		return common, nil, nil
	}
	return common, append([]entry{}, st.entries...), nil
}

// rebuildDatabase builds a database by replaying a whole log.
func rebuildDatabase(entries []entry, replica func() bool) (*database, error) {
	db, err := openDatabase(nil, replica)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if err := db.apply(e.statements); err != nil {
			db.close()
			return nil, fmt.Errorf("rebuild: entry %d: %w", e.lsn, err)
		}
	}
	return db, nil
}

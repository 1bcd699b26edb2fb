package standin

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"modernc.org/sqlite"

	"github.com/bramleylever/bramleylever/internal/backend"
)

// SQLSTATEs that the stand-in returns in addition to those in package backend.
const (
	stateProtocolViolation   = "08P01"
	stateFeatureNotSupported = "0A000"
	stateInvalidText         = "22P02"
	stateInvalidParameter    = "22023"
	stateActiveTransaction   = "25001"
	stateNoTransaction       = "25P01"
	stateFailedTransaction   = "25P02"
	stateInvalidStatement    = "26000"
	stateInvalidPassword     = "28P01"
	stateInvalidCursor       = "34000"
	stateSyntax              = "42601"
	stateUndefinedObject     = "42704"
	stateQueryCanceled       = "57014"
	stateAdminShutdown       = "57P01"
	stateInternal            = "XX000"
)

// sqlStateError is an error with an SQLSTATE.
type sqlStateError struct {
	code    string
	message string
	fatal   bool
}

func (e *sqlStateError) Error() string { return e.message + " (SQLSTATE " + e.code + ")" }

func (e *sqlStateError) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if e.fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: e.code, Message: e.message,
	}
}

func failf(code, format string, args ...any) error {
	return &sqlStateError{code: code, message: fmt.Sprintf(format, args...)}
}

func fatalf(code, format string, args ...any) error {
	return &sqlStateError{code: code, message: fmt.Sprintf(format, args...), fatal: true}
}

func syntaxError(message string) error { return failf(stateSyntax, "%s", message) }

func readOnlyError(what string) error {
	return failf(backend.SQLStateReadOnly, "cannot execute %s in a read-only transaction", what)
}

// asSQLStateError returns err with an SQLSTATE. An SQLite error gets the one that
// PostgreSQL returns in the same case.
func asSQLStateError(err error) *sqlStateError {
	var state *sqlStateError
	if errors.As(err, &state) {
		return state
	}
	var sqliteErr *sqlite.Error
	if errors.As(err, &sqliteErr) {
		return &sqlStateError{code: sqliteSQLState(sqliteErr), message: sqliteErr.Error()}
	}
	return &sqlStateError{code: stateInternal, message: err.Error()}
}

// sqliteSQLStates maps fragments of SQLite's error messages to SQLSTATEs. Result codes
// are too coarse: SQLite reports most errors of statement preparation with the same
// one.
var sqliteSQLStates = []struct{ fragment, code string }{
	{"UNIQUE constraint failed", "23505"},
	{"NOT NULL constraint failed", "23502"},
	{"FOREIGN KEY constraint failed", "23503"},
	{"CHECK constraint failed", "23514"},
	{"no such table", "42P01"},
	{"no such column", "42703"},
	{"has no column named", "42703"},
	{"no such function", "42883"},
	{"no such savepoint", "3B001"},
	{"already exists", "42P07"},
	{"syntax error", stateSyntax},
	{"values were supplied", stateSyntax},
	{"values for", stateSyntax},
	{"incomplete input", stateSyntax},
	{"datatype mismatch", stateInvalidText},
	{"integer overflow", "22003"},
}

func sqliteSQLState(err *sqlite.Error) string {
	for _, s := range sqliteSQLStates {
		if strings.Contains(err.Error(), s.fragment) {
			return s.code
		}
	}
	return stateInternal
}

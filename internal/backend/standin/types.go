package standin

import (
	"database/sql/driver"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// oidUnspecified is the OID of a parameter whose type is not determined.
const oidUnspecified = 0

// Format codes of values in the protocol.
const (
	formatText   = 0
	formatBinary = 1
)

// declaredTypes maps the type names of column declarations and casts to the
// types reported to clients. INTEGER is the declared type of serial columns of
// all widths in SQLite, so it is reported as bigint.
var declaredTypes = map[string]uint32{
	"integer": pgtype.Int8OID, "bigint": pgtype.Int8OID, "int8": pgtype.Int8OID,
	"int": pgtype.Int4OID, "int4": pgtype.Int4OID, "smallint": pgtype.Int2OID, "int2": pgtype.Int2OID,
	"bool": pgtype.BoolOID, "boolean": pgtype.BoolOID,
	"text": pgtype.TextOID, "varchar": pgtype.VarcharOID, "character varying": pgtype.VarcharOID,
	"char": pgtype.BPCharOID, "character": pgtype.BPCharOID,
	"real": pgtype.Float4OID, "float4": pgtype.Float4OID,
	"float8": pgtype.Float8OID, "double precision": pgtype.Float8OID, "double": pgtype.Float8OID,
	"numeric": pgtype.NumericOID, "decimal": pgtype.NumericOID,
	"timestamp": pgtype.TimestampOID, "timestamptz": pgtype.TimestamptzOID, "date": pgtype.DateOID,
	"bytea": pgtype.ByteaOID, "uuid": pgtype.UUIDOID, "json": pgtype.JSONOID, "jsonb": pgtype.JSONBOID,
}

// declaredOID returns the OID of the type of a column declaration, 0 if unknown.
func declaredOID(declared string) uint32 {
	name, _, _ := strings.Cut(strings.ToLower(declared), "(")
	return declaredTypes[strings.TrimSpace(name)]
}

// valueOID returns the type OID of a value whose column has no declared type.
func valueOID(v driver.Value) uint32 {
	switch v.(type) {
	case int64:
		return pgtype.Int8OID
	case float64:
		return pgtype.Float8OID
	case bool:
		return pgtype.BoolOID
	case []byte:
		return pgtype.ByteaOID
	case time.Time:
		return pgtype.TimestamptzOID
	}
	return pgtype.TextOID
}

// typeSize returns the size of a type for RowDescription, -1 if it varies.
func typeSize(oid uint32) int16 {
	switch oid {
	case pgtype.BoolOID:
		return 1
	case pgtype.Int2OID:
		return 2
	case pgtype.Int4OID, pgtype.Float4OID, pgtype.DateOID:
		return 4
	case pgtype.Int8OID, pgtype.Float8OID, pgtype.TimestampOID, pgtype.TimestamptzOID:
		return 8
	case pgtype.UUIDOID:
		return 16
	}
	return -1
}

// sharedTypeMap holds the codecs of all types. A map takes about 100 KB and is
// not safe for concurrent use, so all sessions of the process share one, guarded
// by a mutex. The common types are converted without it.
var sharedTypeMap = struct {
	sync.Mutex
	*pgtype.Map
}{Map: pgtype.NewMap()}

// timeLayout is the format of stored timestamps. All have the same length and
// time zone, so that sorting them as text sorts them by time.
const timeLayout = "2006-01-02 15:04:05.000000+00"

func formatTime(t time.Time) string { return t.UTC().Format(timeLayout) }

// decodeParameter converts a parameter from its protocol encoding to an SQLite
// value.
func decodeParameter(oid uint32, format int16, src []byte) (driver.Value, error) {
	if src == nil {
		return nil, nil
	}
	switch {
	case oid == oidUnspecified || oid == pgtype.TextOID || oid == pgtype.VarcharOID || oid == pgtype.UnknownOID:
		return string(src), nil
	case format == formatBinary && oid == pgtype.Int8OID && len(src) == 8:
		return int64(binary.BigEndian.Uint64(src)), nil
	case format == formatBinary && oid == pgtype.Int4OID && len(src) == 4:
		return int64(int32(binary.BigEndian.Uint32(src))), nil
	}
	sharedTypeMap.Lock()
	defer sharedTypeMap.Unlock()
	t, ok := sharedTypeMap.TypeForOID(oid)
	if !ok {
		return nil, failf(stateUndefinedObject, "type with OID %d does not exist", oid)
	}
	v, err := t.Codec.DecodeDatabaseSQLValue(sharedTypeMap.Map, oid, format, src)
	if err != nil {
		return nil, failf(stateInvalidText, "invalid input for type %s: %s", t.Name, err)
	}
	return storedValue(oid, v), nil
}

// storedValue converts a decoded value to the form that SQLite stores.
func storedValue(oid uint32, v driver.Value) driver.Value {
	switch x := v.(type) {
	case time.Time:
		if oid == pgtype.DateOID {
			return x.Format(time.DateOnly)
		}
		if oid == pgtype.TimestampOID {
			return timeText(oid, formatTime(x))
		}
		return formatTime(x)
	case bool:
		if x {
			return int64(1)
		}
		return int64(0)
	case []byte:
		if oid != pgtype.ByteaOID {
			return string(x)
		}
	}
	return v
}

// appendValue appends a value, encoded in the given type and format. ok is false
// for NULL.
func appendValue(buf []byte, oid uint32, format int16, v driver.Value) (out []byte, ok bool, err error) {
	if v == nil {
		return buf, false, nil
	}
	if format == formatText {
		return appendText(buf, oid, v), true, nil
	}
	switch x := v.(type) {
	case int64:
		switch oid {
		case pgtype.Int8OID:
			return binary.BigEndian.AppendUint64(buf, uint64(x)), true, nil
		case pgtype.Int4OID:
			return binary.BigEndian.AppendUint32(buf, uint32(int32(x))), true, nil
		case pgtype.Float8OID:
			return binary.BigEndian.AppendUint64(buf, math.Float64bits(float64(x))), true, nil
		}
	case string:
		if oid == pgtype.TextOID || oid == pgtype.VarcharOID || oid == pgtype.BPCharOID {
			return append(buf, x...), true, nil
		}
	case []byte:
		if oid == pgtype.ByteaOID {
			return append(buf, x...), true, nil
		}
	}
	return appendBinary(buf, oid, v)
}

// appendBinary encodes a value through its text form, which is slow but correct
// for every type.
func appendBinary(buf []byte, oid uint32, v driver.Value) ([]byte, bool, error) {
	text := appendText(nil, oid, v)
	sharedTypeMap.Lock()
	defer sharedTypeMap.Unlock()
	t, ok := sharedTypeMap.TypeForOID(oid)
	if !ok {
		return nil, false, failf(stateUndefinedObject, "type with OID %d does not exist", oid)
	}
	decoded, err := t.Codec.DecodeValue(sharedTypeMap.Map, oid, formatText, text)
	if err != nil {
		return nil, false, failf(stateInvalidText, "value %q is not of type %s", text, t.Name)
	}
	out, err := sharedTypeMap.Encode(oid, formatBinary, decoded, buf)
	return out, true, err
}

func appendText(buf []byte, oid uint32, v driver.Value) []byte {
	switch x := v.(type) {
	case int64:
		if oid == pgtype.BoolOID {
			return appendBool(buf, x != 0)
		}
		return strconv.AppendInt(buf, x, 10)
	case float64:
		if isInteger(oid) {
			return strconv.AppendInt(buf, int64(x), 10)
		}
		return strconv.AppendFloat(buf, x, 'g', -1, 64)
	case bool:
		return appendBool(buf, x)
	case string:
		if oid == pgtype.BoolOID {
			return appendBool(buf, strings.HasPrefix(x, "t") || x == "1")
		}
		return append(buf, timeText(oid, x)...)
	case []byte:
		if oid == pgtype.ByteaOID {
			buf = append(buf, `\x`...)
			return hex.AppendEncode(buf, x)
		}
		return append(buf, x...)
	case time.Time:
		return appendTime(buf, oid, x)
	}
	return fmt.Append(buf, v)
}

// timeText converts the text of a stored time to the format of the given type.
// The two differ if the time was stored from a literal or from a column of
// another type.
func timeText(oid uint32, text string) string {
	switch oid {
	case pgtype.DateOID:
		return text[:min(len(text), len(time.DateOnly))]
	case pgtype.TimestampOID:
		return strings.TrimSuffix(text, "+00")
	case pgtype.TimestamptzOID:
		if len(text) > len(time.DateOnly) && !strings.ContainsAny(text[len(time.DateOnly):], "+-Z") {
			return text + "+00"
		}
	}
	return text
}

func appendTime(buf []byte, oid uint32, t time.Time) []byte {
	switch oid {
	case pgtype.DateOID:
		return t.AppendFormat(buf, time.DateOnly)
	case pgtype.TimestampOID:
		return t.UTC().AppendFormat(buf, "2006-01-02 15:04:05.999999")
	}
	return t.UTC().AppendFormat(buf, "2006-01-02 15:04:05.999999+00")
}

func appendBool(buf []byte, v bool) []byte {
	if v {
		return append(buf, 't')
	}
	return append(buf, 'f')
}

func isInteger(oid uint32) bool {
	return oid == pgtype.Int8OID || oid == pgtype.Int4OID || oid == pgtype.Int2OID
}

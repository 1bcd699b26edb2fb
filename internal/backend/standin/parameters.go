package standin

import (
	"maps"
	"strconv"
	"strings"
	"time"
)

// builtinParameters are the parameters that exist in every session, with their
// default values.
var builtinParameters = map[string]string{
	"application_name": "", "client_encoding": "UTF8", "datestyle": "ISO, MDY", "timezone": "UTC",
	"intervalstyle": "postgres", "extra_float_digits": "1", "statement_timeout": "0",
	"search_path": `"$user", public`, "standard_conforming_strings": "on", "server_version": serverVersion,
	"server_version_num": "150000", "server_encoding": "UTF8", "integer_datetimes": "on",
	"is_superuser": "off", "default_transaction_read_only": "off", "transaction_isolation": "read committed",
	"default_transaction_isolation": "read committed", "lock_timeout": "0",
	"idle_in_transaction_session_timeout": "0", "client_min_messages": "notice", "max_connections": "100",
	"in_hot_standby": "off", "session_authorization": "", "row_security": "on", "bytea_output": "hex",
}

// reportedParameters are the parameters that are sent to the client in
// ParameterStatus messages, spelled as they are sent.
var reportedParameters = []string{
	"application_name", "client_encoding", "DateStyle", "TimeZone", "IntervalStyle", "server_version",
	"server_encoding", "integer_datetimes", "standard_conforming_strings", "is_superuser",
	"session_authorization", "default_transaction_read_only", "in_hot_standby",
}

// parameter returns the session's value of a parameter.
func (s *session) parameter(name string) string {
	value, _ := s.lookupParameter(strings.ToLower(name))
	return value
}

func (s *session) lookupParameter(name string) (string, bool) {
	switch name {
	case "transaction_read_only":
		return onOff(s.tx.readOnly || s.inst.replica.Load()), true
	case "in_hot_standby":
		return onOff(s.inst.replica.Load()), true
	case "session_authorization":
		return s.user, true
	}
	if value, ok := s.parameters[name]; ok {
		return value, true
	}
	value, ok := builtinParameters[name]
	return value, ok
}

func onOff(v bool) string {
	if v {
		return "on"
	}
	return "off"
}

// setParameter sets a parameter. As in PostgreSQL, a name that is not built in
// must contain a dot.
func (s *session) setParameter(name, value string, local bool) error {
	if _, ok := s.lookupParameter(name); !ok && !strings.Contains(name, ".") {
		return failf(stateUndefinedObject, "unrecognized configuration parameter %q", name)
	}
	s.tx.saveParameters(s.parameters)
	if strings.EqualFold(value, "DEFAULT") {
		s.resetParameter(name)
	} else {
		s.parameters[name] = value
	}
	if local {
		s.tx.localParameters = append(s.tx.localParameters, name)
	}
	s.reportChanged()
	return nil
}

func (s *session) resetParameter(name string) {
	if value, ok := s.defaults[name]; ok {
		s.parameters[name] = value
		return
	}
	delete(s.parameters, name)
}

func (s *session) resetParameters() {
	s.tx.saveParameters(s.parameters)
	s.parameters = maps.Clone(s.defaults)
	s.reportChanged()
}

// reportChanged sends the reported parameters whose values have changed to the
// client.
func (s *session) reportChanged() {
	for _, name := range reportedParameters {
		if value := s.parameter(name); s.reported[name] != value {
			s.report(name, value)
		}
	}
}

// statementTimeout returns the value of statement_timeout, in milliseconds if it
// has no unit; 0 means no timeout.
func (s *session) statementTimeout() time.Duration {
	value := s.parameters["statement_timeout"]
	if value == "" || value == "0" {
		return 0
	}
	if ms, err := strconv.Atoi(value); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	d, err := time.ParseDuration(strings.ReplaceAll(strings.ReplaceAll(value, " ", ""), "min", "m"))
	if err != nil {
		return 0
	}
	return d
}

// Package explain searches the logs of several hosts for the reason why a request was not served.
// It selects the log lines of the request, and those that concern its service, instances or hosts
// and were written shortly before.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the length of the longest line that Read accepts.
const maxLineBytes = 1 << 20

// Line is a parsed log line.
type Line struct {
	// Source is the last word before the JSON on the line or, without one, the name of the file.
	Source  string
	Time    time.Time
	Message string
	Fields  map[string]any
}

// Read parses log lines. The last word before the first brace of a line overrides source. A line
// without a JSON object is skipped and counted.
func Read(r io.Reader, source string) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		prefix, rest, ok := strings.Cut(scanner.Text(), "{")
		fields := map[string]any{}
		if !ok || json.Unmarshal([]byte("{"+rest), &fields) != nil {
			skipped++
			continue
		}
		line := Line{Source: source, Fields: fields}
		if words := strings.Fields(prefix); len(words) > 0 {
			line.Source = words[len(words)-1]
		}
		line.Message, _ = fields["msg"].(string)
		if text, ok := fields["time"].(string); ok {
			line.Time, _ = time.Parse(time.RFC3339Nano, text)
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return lines, skipped, fmt.Errorf("read %s: %w", source, err)
	}
	return lines, skipped, nil
}

// stringField returns the value of a field, or an empty string if it is absent or not a string.
func (l *Line) stringField(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// Options selects lines.
type Options struct {
	// Request is the ID of the request.
	Request string
	// Before is the length of the period before the request's first line in which related lines
	// are searched.
	Before time.Duration
}

// relatedFields are the fields that relate a line to a request if both have the same value: a
// service, instance, host (peer) or client account.
var relatedFields = []string{"service", "instance", "peer", "account"}

// Find returns the lines of a request and the lines related to it, sorted by time.
func Find(lines []Line, o Options) []Line {
	var own []Line
	for _, l := range lines {
		if l.stringField("request") == o.Request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, func(a, b Line) int { return a.Time.Compare(b.Time) })
	from, to := own[0].Time.Add(-o.Before), own[len(own)-1].Time
	names := collectNames(own)
	out := own
	for _, l := range lines {
		if l.stringField("request") != "" || l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		if isRelated(&l, own, names) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// collectNames returns the services, instances, peers and accounts that the lines of a request
// name. It includes every word of the fields reason and last_attempt, because their texts name the
// instances of failed attempts.
func collectNames(own []Line) map[string]bool {
	names := map[string]bool{}
	for i := range own {
		for _, field := range relatedFields {
			if name := own[i].stringField(field); name != "" {
				names[name] = true
			}
		}
		for _, field := range []string{"reason", "last_attempt"} {
			for _, word := range strings.FieldsFunc(own[i].stringField(field), isSeparator) {
				names[word] = true
			}
		}
	}
	return names
}

func isSeparator(r rune) bool { return strings.ContainsRune(" :;,()", r) }

// isRelated reports whether a line has one of names in a related field. It also reports true for a
// line without a decision from a host that logged the request: such lines are about the store, the
// settings, or the start and stop of the host.
func isRelated(l *Line, own []Line, names map[string]bool) bool {
	for _, field := range relatedFields {
		if name := l.stringField(field); name != "" && names[name] {
			return true
		}
	}
	decision := l.stringField("decision") != ""
	for i := range own {
		if own[i].Source == l.Source && !decision {
			return true
		}
	}
	return false
}

// Write prints lines in a readable form: time, source, message and fields.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		var text strings.Builder
		fmt.Fprintf(&text, "%s %-24s %s", l.Time.Format("15:04:05.000"), l.Source, l.Message)
		for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
			if name == "msg" || name == "time" || name == "level" {
				continue
			}
			fmt.Fprintf(&text, " %s=%v", name, l.Fields[name])
		}
		if _, err := fmt.Fprintln(w, text.String()); err != nil {
			return err
		}
	}
	return nil
}

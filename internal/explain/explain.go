// Package explain finds in the logs of several hosts why a request was not
// served: the lines of the request itself, and those of decisions that touched
// its service, its instances or its hosts shortly before.
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

// maxLine is the longest line that is read, in bytes.
const maxLine = 1 << 20

// Line is one log line.
type Line struct {
	// Source is the file, or what stood before the JSON on the line.
	Source  string
	Time    time.Time
	Message string
	Fields  map[string]any
}

// Read reads log lines. What stands before the first brace names the source; a
// line without JSON is left out and counted.
func Read(r io.Reader, source string) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
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

// stringField returns a field as stringField.
func (l *Line) stringField(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// Options selects lines.
type Options struct {
	// Request is the id of the request.
	Request string
	// Before is how far before the request's lines related ones are looked for.
	Before time.Duration
}

// relatedFields are the fields by which lines of other decisions belong to a
// request: the same host, service or instance.
var relatedFields = []string{"service", "instance", "peer", "account"}

// Find returns the lines of a request and those that are related to it, in the
// order of time.
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

// collectNames collects the services, instances, peers and accounts that the lines
// of a request name, also those inside the texts of attempts.
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

// isRelated reports whether a line names a subject of the request, or tells of
// the store, the settings or the life of a host that handled it.
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

// Write prints lines for people: time, source, message and fields.
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

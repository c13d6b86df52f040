// Package flowtrace reconstructs what happened to one flow from the logs of several
// balancers.
package flowtrace

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Line is one structured line of a balancer's log.
type Line struct {
	// Time is the date and time by the clock of the host, without a year.
	Time    time.Time
	Host    string
	Message string
	Fields  []Field
	// Text is the unparsed rest of the line, beginning with the message.
	Text string
}

// Field is a key with its unquoted value.
type Field struct{ Key, Value string }

// Get returns the value of a key, empty if there is none.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

var (
	// header matches what klog writes before a message: severity, month and day, time,
	// process and source location. If the logs of several hosts were merged, the word before
	// the header names the host.
	header = regexp.MustCompile(`[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6})\s+\d+ [^ \]]+\] `)
	field  = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

const (
	headerTime = "0102 15:04:05.000000"
	// maxLineBytes is the maximum length of a line. Balancers write lines of a few hundred bytes.
	maxLineBytes = 1 << 20
)

// Parse reads the lines of a log. It skips lines that weren't written by a balancer. host is
// the host of lines that don't name theirs.
func Parse(r io.Reader, host string) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if l, ok := parseLine(s.Text(), host); ok {
			out = append(out, l)
		}
	}
	return out, eris.Wrapf(s.Err(), "log of %s", host)
}

func parseLine(text, host string) (Line, bool) {
	at := header.FindStringSubmatchIndex(text)
	if at == nil {
		return Line{}, false
	}
	t, err := time.Parse(headerTime, text[at[2]:at[3]])
	if err != nil {
		return Line{}, false // Another program wrote this line; its header only looks similar.
	}
	if before := strings.Fields(text[:at[0]]); len(before) > 0 {
		host = before[len(before)-1]
	}
	l := Line{Time: t, Host: host, Text: text[at[1]:]}
	rest := l.Text
	if quoted, err := strconv.QuotedPrefix(rest); err == nil {
		l.Message, _ = strconv.Unquote(quoted) // QuotedPrefix returns only what can be unquoted.
		rest = rest[len(quoted):]
	}
	for _, m := range field.FindAllStringSubmatch(rest, -1) {
		value := m[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		l.Fields = append(l.Fields, Field{Key: m[1], Value: value})
	}
	return l, true
}

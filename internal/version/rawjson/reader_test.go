package rawjson_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/version/rawjson"
)

// Guards against a value that ends at another place than the grammar says.
func TestReaderFindsEndsOfValues(t *testing.T) {
	deep := strings.Repeat(`{"a":[`, 300_000) + strings.Repeat(`]}`, 300_000)
	escapes := `"` + strings.Repeat(`\u0041\"`, 100_000) + `"`
	for name, tc := range map[string]struct {
		src  string
		want []string
	}{
		"nothing":                   {`[]`, nil},
		"white space":               {" [ 1 ,\t{ } ]\n", []string{"1", "{ }"}},
		"brackets in strings":       {`["]}",{"[":"{"}]`, []string{`"]}"`, `{"[":"{"}`}},
		"escaped quotes":            {`["\"]","\\",3]`, []string{`"\"]"`, `"\\"`, `3`}},
		"escapes before the end":    {`["\u0041\\\\\"","x"]`, []string{`"\u0041\\\\\""`, `"x"`}},
		"many escapes":              {"[" + escapes + ",1]", []string{escapes, "1"}},
		"bytes that aren't UTF-8":   {"[\"\xff\x00\",1]", []string{"\"\xff\x00\"", "1"}},
		"the same name twice":       {`[{"a":1,"a":[]}]`, []string{`{"a":1,"a":[]}`}},
		"numbers and literals":      {`[-1.5e9,nul,true]`, []string{"-1.5e9", "nul", "true"}},
		"nesting beyond any parser": {"[1," + deep + ",2]", []string{"1", deep, "2"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := rawjson.NewReader([]byte(tc.src))
			var got []string
			r.Array(func() { got = append(got, string(r.Value())) })
			r.End()
			g.Expect(r.Err()).NotTo(HaveOccurred())
			g.Expect(got).To(Equal(tc.want))
		})
	}
}

// Guards against a text that is read on although the end of a value in it is unknown.
func TestReaderStopsAtSyntaxErrors(t *testing.T) {
	for name, src := range map[string]string{
		"nothing":                     ``,
		"no value":                    `[1,]`,
		"no comma":                    `[1 2]`,
		"no closing bracket":          `[1`,
		"another closing bracket":     `[1}`,
		"another bracket inside":      `[[1}]`,
		"a string without end":        `["a]`,
		"an escape at the end":        `["a\`,
		"a name without quotes":       `[{a:1}]`,
		"a name without colon":        `[{"a" 1}]`,
		"a member without value":      `[{"a":}]`,
		"an object instead of a list": `{}`,
		"something after it":          `[] 1`,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := rawjson.NewReader([]byte(src))
			r.Array(func() { r.Value() })
			r.End()
			g.Expect(r.Err()).To(MatchError(rawjson.ErrSyntax))
			g.Expect(r.Value()).To(BeNil())
		})
	}
}

func TestReaderSkipsMembersThatAreNotRead(t *testing.T) {
	g := NewWithT(t)
	r := rawjson.NewReader([]byte(`{"skipped":[{"x":1}],"re\u0061d":2,"in\qvalid":null}`))
	got := make(map[string]string)
	r.Object(func(name []byte) {
		if string(name) == "skipped" {
			return
		}
		got[string(name)] = string(r.Value())
	})
	r.End()
	g.Expect(r.Err()).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(map[string]string{"read": "2", `in\qvalid`: "null"}))
}

package operatorfile

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"sagelever/match"
	"sagelever/match/rules"
)

var testDeployment = match.Deployment{Effects: map[string]string{"look": "pure", "once": "effectful"}, Customers: []string{"ann"}}

const validFile = `; rules of the shop
[match]
budget = 80us

[rule flags]
when = path.startsWith("/api/flags/") && header[?"x-percent"].orValue("%(no)s") != "50%; # not a comment"
workload = "look"
key = segments[2]
otherwise = refuse

[rule long one]
when = """
  path.startsWith("/a") &&
  "\\" != path"""
customer = "ann"
`

func TestRead(t *testing.T) {
	p, err := Read("o.ini", []byte(validFile), testDeployment)
	if err != nil {
		t.Fatal(err)
	}
	if len(p.Rules) != 2 || p.Match.Budget != 80*time.Microsecond || p.Rules[0].Name != "flags" || p.Rules[1].Name != "long one" ||
		!strings.Contains(p.Rules[0].When, `"%(no)s") != "50%; # not a comment"`) || !strings.Contains(p.Rules[1].When, `"\\" != path`) || p.RuleSet == nil {
		t.Errorf("%+v", p)
	}
	for _, text := range []string{"", "\n; nothing\n", "[match]\n"} {
		if p, err := Read("o.ini", []byte(text), testDeployment); err != nil || p.RuleSet != nil || p.Match.Budget != rules.DefaultBudget {
			t.Errorf("%q: %+v, %v", text, p, err)
		}
	}
}

// What is wrong is said with its place, and nothing that is unknown is passed over.
func TestReadReportsPosition(t *testing.T) {
	for _, x := range []struct{ text, want, under string }{
		{"[mtch]\nbudget = 1us\n", "o.ini:1:1: no such section: [mtch]", "["},
		{"[rule]\nwhen = true\n", "o.ini:1:1: no such section: [rule]", "["},
		{"budget = 1us\n", "o.ini:1:1: budget stands in no section", "b"},
		{"[match]\nbudgte = 1us\n", "o.ini:2:1: no such field: budgte", "b"},
		{"[match]\nbudget = 3 cups\n", "o.ini:2:10: budget is no time", "3"},
		{"[match]\n  budget = 1h\n", "o.ini:2:12: budget is 1h0m0s, at most 10ms is wanted", "1"},
		{"[match]\nbudget = 5ns\n", "o.ini:2:10: budget is 5ns, at least 1us is wanted", "5"},
		{"[match]\nbudget = 20us\nbudget = 20us\n", "o.ini:2:1: budget comes twice", "b"},
		{"[websocket]\npath = ws\n", "o.ini:2:8: path is ws, a beginning of / is wanted", "w"},
		{"[websocket]\nin_flight = many\n", "o.ini:2:13: in_flight is no whole number", "m"},
		{"[websocket]\npath = /ws\nheartbeat = 5ms\n", "o.ini:3:13: heartbeat is 5ms, at least 1s is wanted", "5"},
		{"[match]\n[match]\n", "o.ini:2:1: the section [match] comes twice", "["},
		{"[rule a]\nwhen = true\nkey = \"k\"\n[rule a]\nwhen = true\nkey = \"k\"\n", "o.ini:4:1: a rule of the name \"a\" stands above", "["},
		{"[rule a]\nkey = \"k\"\n", "o.ini:1:1: the rule has no when", "["},
		{"[rule a]\nname = b\nwhen = true\nkey = \"k\"\n", "o.ini:2:1: no such field: name", "n"},
		{"[rule a]\nwhen =\nkey = \"k\"\n", "o.ini:2:1: when is empty", "w"},
		{"[rule a]\nwhen = true\nworkload = \"fly\"\n", "o.ini:3:12: workload: no such workload: \"fly\"", `"`},
		{"[rule a]\nwhen = size > 3 && pth == \"x\"\nkey = \"k\"\n", "o.ini:2:20: when: undeclared reference to 'pth'", "p"},
		{"[rule a]\nwhen = \"\"\"size > 3 &&\n\t  pth == \"x\" \"\"\"\nkey = \"k\"\n", "o.ini:3:4: when: undeclared reference to 'pth'", "p"},
		{"[rule a]\nwhen = true\nkey = path\n[rule b]\nwhen = method == \"POST\"\nworkload = \"look\"\n", "o.ini:6:12: workload: what the condition", `"`},
		{"[rule a]\nwhen = true\nkey = \"k\"\notherwise = maybe\n", "o.ini:4:13: otherwise: undeclared reference", "m"},
		{"[rule a]\nwhen true\n", "o.ini:2:1: key-value delimiter not found", "w"},
		{"[rule a\nwhen = true\n", "o.ini:1:1: unclosed section", "["},
	} {
		_, err := Read("o.ini", []byte(x.text), testDeployment)
		var f *ParseError
		if !errors.As(err, &f) || !strings.HasPrefix(f.Error(), x.want) {
			t.Errorf("%q: %v, want %s", x.text, err, x.want)
			continue
		}
		source, mark, _ := strings.Cut(f.Caret(), "\n")
		if at := strings.Index(mark, "^"); at < 0 || !strings.HasPrefix(source[min(at, len(source)):], x.under) {
			t.Errorf("%q: the mark is not under %q:\n%s", x.text, x.under, f.Caret())
		}
	}
}

// All that is wrong with the form is said at once.
func TestReadReportsAllErrors(t *testing.T) {
	_, err := Read("o.ini", []byte("[match]\nx = 1\ny = 2\n[fly]\n"), testDeployment)
	if err == nil || strings.Count(err.Error(), "\n") != 2 {
		t.Errorf("%v", err)
	}
}

// Rules that are too dear together are refused with their names, and a file that is too large before it is read.
func TestReadLimits(t *testing.T) {
	var dear strings.Builder
	for i := range 60 {
		fmt.Fprintf(&dear, "[rule r%d]\nwhen = size > %d\nkey = \"k\"\n", i, i)
	}
	if _, err := Read("o.ini", []byte(dear.String()), testDeployment); err == nil || !strings.Contains(err.Error(), "the budget is 50µs") {
		t.Errorf("%v", err)
	}
	if _, err := Read("o.ini", make([]byte, MaxBytes+1), testDeployment); err == nil || !strings.Contains(err.Error(), "at most") {
		t.Errorf("%v", err)
	}
}

// FuzzRead: whatever a file holds, it is read or refused with a place in it.
func FuzzRead(f *testing.F) {
	f.Add(validFile)
	for _, text := range []string{"[rule a]\nwhen = `true`\nkey = \"k\"\n", "[a]\r\nb=c\r\n", "\xef\xbb\xbf[match]\nbudget=1us", "[rule a]\nwhen = \"\"\"tr\nue", "=", "[", "[]\n=\n"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Read("o.ini", []byte(text), testDeployment)
		var fault *ParseError
		if err != nil && (!errors.As(err, &fault) || fault.Line < 1 || fault.Column < 1) {
			t.Errorf("%q: %#v", text, err)
		}
		if fault != nil {
			fault.Caret()
		}
	})
}

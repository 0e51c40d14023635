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

var testDeployment = match.Deployment{
	Effects:   map[string]string{"look": "pure", "once": "effectful"},
	Customers: []string{"ann"},
}

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

// A valid file yields its rules in order with their expressions unchanged, and the defaults for missing keys.
func TestRead(t *testing.T) {
	config, err := Read("o.ini", []byte(validFile), testDeployment)
	if err != nil {
		t.Fatal(err)
	}
	if len(config.Rules) != 2 || config.Match.Budget != 80*time.Microsecond || config.RuleSet == nil {
		t.Fatalf("%+v", config)
	}
	for i, want := range []struct{ name, when string }{
		{"flags", `"%(no)s") != "50%; # not a comment"`},
		{"long one", `"\\" != path`},
	} {
		if rule := config.Rules[i]; rule.Name != want.name || !strings.Contains(rule.When, want.when) {
			t.Errorf("rule %d is %+v, want %+v", i, rule, want)
		}
	}
	for _, text := range []string{"", "\n; nothing\n", "[match]\n"} {
		config, err := Read("o.ini", []byte(text), testDeployment)
		if err != nil || config.RuleSet != nil || config.Match.Budget != rules.DefaultBudget {
			t.Errorf("%q: %+v, %v", text, config, err)
		}
	}
}

// Every error has the position of its cause, and unknown names are errors.
func TestReadReportsPosition(t *testing.T) {
	for _, test := range []struct{ text, want, under string }{
		{"[mtch]\nbudget = 1us\n", "o.ini:1:1: no such section: [mtch]", "["},
		{"[rule]\nwhen = true\n", "o.ini:1:1: no such section: [rule]", "["},
		{"budget = 1us\n", "o.ini:1:1: budget is outside of any section", "b"},
		{"[match]\nbudgte = 1us\n", "o.ini:2:1: no such field: budgte", "b"},
		{"[match]\nbudget = 3 cups\n", "o.ini:2:10: budget is not a duration", "3"},
		{"[match]\n  budget = 1h\n", "o.ini:2:12: budget is 1h0m0s, want at most 10ms", "1"},
		{"[match]\nbudget = 5ns\n", "o.ini:2:10: budget is 5ns, want at least 1us", "5"},
		{"[match]\nbudget = 20us\nbudget = 20us\n", "o.ini:2:1: budget is set twice", "b"},
		{"[websocket]\npath = ws\n", "o.ini:2:8: path is ws, want the prefix /", "w"},
		{"[websocket]\nin_flight = many\n", "o.ini:2:13: in_flight is not an integer", "m"},
		{"[websocket]\npath = /ws\nheartbeat = 5ms\n", "o.ini:3:13: heartbeat is 5ms, want at least 1s", "5"},
		{"[match]\n[match]\n", "o.ini:2:1: duplicate section [match]", "["},
		{"[rule a]\nwhen = true\nkey = \"k\"\n[rule a]\nwhen = true\nkey = \"k\"\n",
			"o.ini:4:1: duplicate rule \"a\"", "["},
		{"[rule a]\nkey = \"k\"\n", "o.ini:1:1: the rule has no when", "["},
		{"[rule a]\nname = b\nwhen = true\nkey = \"k\"\n", "o.ini:2:1: no such field: name", "n"},
		{"[rule a]\nwhen =\nkey = \"k\"\n", "o.ini:2:1: when is empty", "w"},
		{"[rule a]\nwhen = true\nworkload = \"fly\"\n", "o.ini:3:12: workload: no such workload: \"fly\"", `"`},
		{"[rule a]\nwhen = size > 3 && pth == \"x\"\nkey = \"k\"\n",
			"o.ini:2:20: when: undeclared reference to 'pth'", "p"},
		{"[rule a]\nwhen = \"\"\"size > 3 &&\n\t  pth == \"x\" \"\"\"\nkey = \"k\"\n",
			"o.ini:3:4: when: undeclared reference to 'pth'", "p"},
		{"[rule a]\nwhen = true\nkey = path\n[rule b]\nwhen = method == \"POST\"\nworkload = \"look\"\n",
			"o.ini:6:12: workload: what the condition", `"`},
		{"[rule a]\nwhen = true\nkey = \"k\"\notherwise = maybe\n", "o.ini:4:13: otherwise: undeclared reference", "m"},
		{"[rule a]\nwhen true\n", "o.ini:2:1: key-value delimiter not found", "w"},
		{"[rule a\nwhen = true\n", "o.ini:1:1: unclosed section", "["},
	} {
		_, err := Read("o.ini", []byte(test.text), testDeployment)
		var parseError *ParseError
		if !errors.As(err, &parseError) || !strings.HasPrefix(parseError.Error(), test.want) {
			t.Errorf("%q: %v, want %s", test.text, err, test.want)
			continue
		}
		source, caret, _ := strings.Cut(parseError.Caret(), "\n")
		if at := strings.Index(caret, "^"); at < 0 || !strings.HasPrefix(source[min(at, len(source)):], test.under) {
			t.Errorf("%q: the caret is not under %q:\n%s", test.text, test.under, parseError.Caret())
		}
	}
}

// All invalid sections and fields are reported together.
func TestReadReportsAllErrors(t *testing.T) {
	_, err := Read("o.ini", []byte("[match]\nx = 1\ny = 2\n[fly]\n"), testDeployment)
	if err == nil || strings.Count(err.Error(), "\n") != 2 {
		t.Errorf("error %v, want one with three lines", err)
	}
}

// Rules that together exceed the budget are rejected, and so is a file that is too large.
func TestReadLimits(t *testing.T) {
	var expensive strings.Builder
	for i := range 60 {
		fmt.Fprintf(&expensive, "[rule r%d]\nwhen = size > %d\nkey = \"k\"\n", i, i)
	}
	_, err := Read("o.ini", []byte(expensive.String()), testDeployment)
	if err == nil || !strings.Contains(err.Error(), "the budget is 50µs") {
		t.Errorf("rules over the budget: %v", err)
	}
	_, err = Read("o.ini", make([]byte, MaxBytes+1), testDeployment)
	if err == nil || !strings.Contains(err.Error(), "at most") {
		t.Errorf("file over the size limit: %v", err)
	}
}

// FuzzRead checks that any content is either accepted or rejected with a position.
func FuzzRead(f *testing.F) {
	f.Add(validFile)
	for _, text := range []string{
		"[rule a]\nwhen = `true`\nkey = \"k\"\n",
		"[a]\r\nb=c\r\n",
		"\xef\xbb\xbf[match]\nbudget=1us",
		"[rule a]\nwhen = \"\"\"tr\nue",
		"=",
		"[",
		"[]\n=\n",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Read("o.ini", []byte(text), testDeployment)
		var parseError *ParseError
		if err != nil && (!errors.As(err, &parseError) || parseError.Line < 1 || parseError.Column < 1) {
			t.Errorf("%q: %#v", text, err)
		}
		if parseError != nil {
			parseError.Caret()
		}
	})
}

// Command figures keeps docs/figures.csv, the record of the scores of all benchmark runs, and reports which site has
// fallen from its best score and which has not been scored since the agent's policy last changed. A low score is no
// error: the command fails only if it cannot read or write.
//
//	go run ./tools/figures       report what the record shows
//	go run ./tools/figures -add  first add the scored runs of the journal that the record lacks
package main

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"io"
	"os"
)

const (
	journalDir = "journal"
	// policyFile is the file by whose hash the record tells versions of the policy apart.
	policyFile = "internal/agent/policy/decide.go"
	// hashLen is how many hexadecimal digits of a hash the record keeps.
	hashLen = 12
)

func main() {
	add := flag.Bool("add", false, "add the journal's runs that the record lacks")
	path := flag.String("record", "docs/figures.csv", "the record")
	flag.Parse()
	if err := report(os.Stdout, *path, *add); err != nil {
		fmt.Fprintln(os.Stderr, "figures:", err)
		os.Exit(1)
	}
}

// report prints the findings on the record at a path. If add is set, it first adds the journal's runs to the record,
// which may be missing then.
func report(out io.Writer, path string, add bool) error {
	record, err := readRecordFile(path, add)
	if err != nil {
		return err
	}
	if add {
		if record, err = addJournal(record, journalDir); err != nil {
			return err
		}
		if err := writeRecordFile(path, record); err != nil {
			return err
		}
	}
	policy, err := os.ReadFile(policyFile)
	if err != nil {
		return err
	}
	policyHash := fmt.Sprintf("%x", sha256.Sum256(policy))[:hashLen]
	for _, line := range findings(record, policyHash) {
		fmt.Fprintln(out, line)
	}
	return nil
}

// Command figures maintains docs/figures.csv, the record of the scores of all benchmark runs. It reports sites whose
// score has dropped from its best value, and sites without a score since the agent's policy last changed. A low score
// is not an error: the command fails only if it cannot read or write a file.
//
//	go run ./tools/figures       report on the record
//	go run ./tools/figures -add  first add scored runs of the journal that are missing from the record
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
	// policyFile is the file whose hash identifies the version of the policy in the record.
	policyFile = "internal/agent/policy/decide.go"
	// hashLen is the number of hexadecimal digits of a policy's hash in the record.
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
// and creates the record if it does not exist.
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

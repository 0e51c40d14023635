package server

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replica"
	"sagelever/internal/control/replication"
)

// Keys of the records in the store. A crash may truncate an unsynced write, whose records are ordered by key.
// progressKey sorts last, so that a stored progress never covers an item that was truncated.
const (
	entryPrefix      = "e/"       // registers, by key: quorum.Entry as JSON
	minProposalKey   = "floor"    // the minimum proposal number: message.PeerRequest as JSON
	identityKey      = "identity" // replica.Identity as JSON
	generationPrefix = "g/"       // disk generations of other replicas, by node: "DISK-ID NUMBER"
	itemPrefix       = "i/"       // replicated items, by key: "VERSION ORIGIN NUMBER BODY", numbers in hexadecimal
	progressKey      = "z"        // the version vector: "UNIX-MILLISECONDS ORIGIN=NUMBER ...", numbers in hexadecimal
)

// Keys that only earlier versions wrote.
const (
	legacyInitializedKey = "born" // written with the first record; exists as long as the disk is not lost
	legacyBackendPrefix  = "a/"   // ready backends, by ID: "VERSION BODY", the version in hexadecimal
	legacyLeasePrefix    = "l/"   // proxies that held a lease
)

// itemFieldCount is the number of fields in an item's record. The last field may contain spaces.
const itemFieldCount = 4

// encodeSave returns the records of a save, by key.
func encodeSave(save replica.Save) map[string]string {
	records := make(map[string]string, len(save.Entries)+2)
	for _, entry := range save.Entries {
		data, _ := easyjson.Marshal(entry) // can't fail, as it contains only strings and integers
		records[entryPrefix+entry.Key] = string(data)
	}
	if save.MinProposal != nil {
		data, _ := easyjson.Marshal(&message.PeerRequest{Proposal: *save.MinProposal}) // can't fail either
		records[minProposalKey] = string(data)
	}
	if save.Identity != nil {
		data, _ := json.Marshal(save.Identity) // can't fail, as it contains only strings and integers
		records[identityKey] = string(data)
	}
	return records
}

func formatItem(item replica.PersistedItem) string {
	return strings.Join([]string{
		strconv.FormatUint(item.Item.Version, 16),
		item.Origin,
		strconv.FormatUint(item.Sequence, 16),
		item.Item.Body,
	}, " ")
}

// parseItem is the inverse of formatItem. ok is false for a malformed record.
func parseItem(key, text string) (item replica.PersistedItem, ok bool) {
	fields := strings.SplitN(text, " ", itemFieldCount)
	if len(fields) < itemFieldCount {
		return item, false
	}
	version, err := strconv.ParseUint(fields[0], 16, 64)
	if err != nil {
		return item, false
	}
	sequence, err := strconv.ParseUint(fields[2], 16, 64)
	if err != nil {
		return item, false
	}
	return replica.PersistedItem{
		Item:     replication.Item{Key: key, Version: version, Body: fields[3]},
		Origin:   fields[1],
		Sequence: sequence,
	}, true
}

// parseLegacyBackend parses a record under legacyBackendPrefix. ok is false for a malformed record.
func parseLegacyBackend(key, text string) (item replica.PersistedItem, ok bool) {
	digits, body, _ := strings.Cut(text, " ")
	version, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return item, false
	}
	return replica.PersistedItem{Item: replication.Item{Key: key, Version: version, Body: body}}, true
}

func formatGeneration(generation message.DiskGeneration) string {
	return generation.DiskID + " " + strconv.FormatUint(generation.Number, 10)
}

// parseGeneration is the inverse of formatGeneration. ok is false for a malformed record.
func parseGeneration(text string) (generation message.DiskGeneration, ok bool) {
	_, err := fmt.Sscan(text, &generation.DiskID, &generation.Number)
	return generation, err == nil
}

func formatProgress(progress replication.Vector, now time.Time) string {
	fields := []string{strconv.FormatInt(now.UnixMilli(), 10)}
	for origin, number := range progress {
		fields = append(fields, origin+"="+strconv.FormatUint(number, 16))
	}
	return strings.Join(fields, " ")
}

// parseProgress is the inverse of formatProgress. It skips malformed entries. at is zero for an empty record.
func parseProgress(text string) (progress replication.Vector, at time.Time) {
	progress = replication.Vector{}
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return progress, at
	}
	milliseconds, _ := strconv.ParseInt(fields[0], 10, 64) // a malformed time becomes the Unix epoch, too old for any use
	for _, field := range fields[1:] {
		origin, digits, _ := strings.Cut(field, "=")
		if number, err := strconv.ParseUint(digits, 16, 64); err == nil {
			progress[origin] = number
		}
	}
	return progress, time.UnixMilli(milliseconds)
}

// Package rangesync finds out by few and bounded messages in what two members differ, and in which order to send it. One
// asks, the other answers: afterwards the asker has been sent everything that the answerer held and it did not.
//
// Each side keeps an Index of its keys. The asker tells the digest of a range of keys. Where the answerer's is another, it
// splits the range at about equal counts and tells the digests of the parts; the asker goes on with those that differ,
// until they are so small that the answerer sends their entries. Equal sets cost one small message whatever their size,
// and d differences among n keys about d log n digests.
//
// Members mostly differ in what has just changed. So an index keeps its latest changes, and knows what it said of a range a
// while ago: where that is what the other side says now, just the changes since are sent, or nothing at all.
//
// Both sides may change meanwhile. A range is closed only when what the answerer said of it was, then or before, what the
// asker held, or when all its entries have been sent. So an entry that the answerer held all the while, unchanged, has been
// sent or is held: see docs/rangesync.md. What the asker holds must never go back, as with the registers of package quorum.
// Entries that changed meanwhile may be sent in vain, or not at all.
//
// The package is pure: it neither sends nor waits.
package rangesync

// Package rangesync finds out by few and bounded messages in what two members differ, and in which order to send it. One
// asks, the other answers: afterwards the asker has been sent everything that the answerer held and it did not.
//
// Each side keeps an Index of its keys. The asker tells the digest of a range of keys. Where the answerer's is another, it
// splits the range at about equal counts and tells the digests of the parts; the asker goes on with those that differ,
// until they are so small that the answerer sends their entries. Equal sets cost one small message whatever their size,
// and d differences among n keys about d log n digests.
//
// Both sides may change meanwhile. A range is closed only when the answerer's digest of it was the asker's at some moment
// since the comparison began, or when all its entries have been sent. So an entry that the answerer held all the while,
// unchanged, has been sent or was held by the asker at such a moment: see docs/rangesync.md. What the asker holds must
// never go back, as with the registers of package quorum. Entries that changed meanwhile may be sent in vain or not at all.
//
// The package is pure: it neither sends nor waits.
package rangesync
